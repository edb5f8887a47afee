/*
 * Validates a complete document, or one section together with the other sections in force, without applying it.
 */
package org.vanillalink.tool.configuration

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import org.vanillalink.transport.Json
import org.vanillalink.transport.read
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.Callable

/** `configuration check`. */
@Command(
    name = "check",
    description = ["Validates a complete document, or with --section one section against the rest; applies nothing."],
    mixinStandardHelpOptions = true,
)
class ConfigurationCheckCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Parameters(index = "0", description = ["A JSON file: an object of sections by name, or one section's content."])
    private lateinit var file: Path

    @Option(names = ["--section"], description = ["Name of the only section in the file."])
    private var section: String? = null

    override fun call(): Int {
        val sections = readSections()
        if (sections == null) {
            System.err.println("cannot read $file as a JSON object of sections by name")
            return ExitCode.USAGE.number
        }
        return OperatorsClient(options.secret).use { client -> check(client, CheckRequest(sections)).number }
    }

    private fun readSections(): Map<String, String>? {
        if (!Files.isReadable(file)) return null
        section?.let { return mapOf(it to Files.readString(file)) }
        val document = Json.read<JsonNode>(Files.readAllBytes(file)).getOrNull() as? ObjectNode ?: return null
        return document.properties().associate { (name, node) -> name to node.toString() }
    }

    private fun check(
        client: OperatorsClient,
        request: CheckRequest,
    ): ExitCode {
        for (daemon in options.daemons) {
            val response = client.post(daemon, "/configuration/check", request, CheckResponse::class.java)
            response.onLeft { System.err.println("$daemon: ${it.detail}") }
            response.onRight { return report(it) }
        }
        return ExitCode.UNREACHABLE
    }

    private fun report(response: CheckResponse): ExitCode {
        if (options.output == OutputFormat.JSON) Output.printJson(response) else print(response)
        return if (response.valid) ExitCode.DONE else ExitCode.REFUSED
    }

    private fun print(response: CheckResponse) {
        val base = response.baseRevision?.let { "revision $it" } ?: "an empty configuration"
        println(if (response.valid) "valid with $base" else "not valid with $base")
        response.unknownSections.forEach { println("$it: no such section") }
        response.errors.forEach { println(it) }
    }
}
