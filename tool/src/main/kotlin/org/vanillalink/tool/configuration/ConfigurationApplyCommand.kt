/*
 * Applies an edit to one section. The edit has an id, so that it can be sent again after a lost response without being
 * applied twice.
 */
package org.vanillalink.tool.configuration

import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.nio.file.Files
import java.nio.file.Path
import java.util.UUID
import java.util.concurrent.Callable

/** `configuration apply`. */
@Command(
    name = "apply",
    description = ["Replaces a section if it still has the expected version."],
    mixinStandardHelpOptions = true,
)
class ConfigurationApplyCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Parameters(index = "0", description = ["The section: services, workspaces, failure-domains, targets or limits."])
    private lateinit var section: String

    @Parameters(index = "1", description = ["The file with the section's new content, JSON."])
    private lateinit var file: Path

    @Option(names = ["--expected-version"], required = true, description = ["The version that the edit is based on."])
    private var expectedVersion: Long = 0

    @Option(names = ["--edit"], description = ["The edit's id; reuse it to repeat an edit whose response was lost."])
    private var edit: String = UUID.randomUUID().toString()

    @Option(names = ["--author"], description = ["The edit's author."])
    private var author: String = System.getProperty("user.name").orEmpty()

    override fun call(): Int {
        if (!Files.isReadable(file)) {
            System.err.println("cannot read $file")
            return ExitCode.USAGE.number
        }
        val request = EditRequest(edit, section, expectedVersion, Files.readString(file), author)
        return OperatorsClient(options.secret).use { client -> send(client, request).number }
    }

    private fun send(
        client: OperatorsClient,
        request: EditRequest,
    ): ExitCode {
        val sent = EditSender(Fleet(options, client).listDaemons().keys, client).send(request)
        if (options.output == OutputFormat.JSON) Output.printJson(sent) else sent.answer?.print()
        return sent.exitCode
    }
}
