/*
 * Takes a failure domain out of service or back in, by a conditional edit of the section failure-domains.
 */
package org.vanillalink.tool.domain

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.configuration.ConfigurationMessage
import org.vanillalink.tool.configuration.EditRequest
import org.vanillalink.tool.configuration.EditSender
import org.vanillalink.tool.configuration.print
import org.vanillalink.transport.Json
import org.vanillalink.transport.read
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import picocli.CommandLine.Parameters
import java.time.Duration
import java.util.UUID
import java.util.concurrent.Callable

/** The state to set; the constants' names are written to the configuration. */
enum class RequestedDomainState { OUT, IN }

/** `domain`. */
@Command(
    name = "domain",
    description = ["Takes a failure domain out (no new requests; requests in progress finish) or puts it back in."],
    mixinStandardHelpOptions = true,
)
class DomainCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Parameters(index = "0", description = ["\${COMPLETION-CANDIDATES}, in either case."])
    private lateinit var state: RequestedDomainState

    @Parameters(index = "1", description = ["The failure domain."])
    private lateinit var failureDomain: String

    @Option(names = ["--watch"], description = ["Wait until the edit is in force at every daemon."])
    private var watch: Boolean = false

    @Option(
        names = ["--timeout-seconds"],
        description = ["How long --watch waits. Default: \${DEFAULT-VALUE}."],
        defaultValue = "30",
    )
    private var timeoutSeconds: Long = 0

    @Option(names = ["--edit"], description = ["The edit's id; reuse it to repeat an edit whose response was lost."])
    private var edit: String = UUID.randomUUID().toString()

    @Option(names = ["--author"], description = ["The edit's author."])
    private var author: String = System.getProperty("user.name").orEmpty()

    override fun call(): Int = OperatorsClient(options.secret).use { client -> applyState(client).number }

    private fun applyState(client: OperatorsClient): ExitCode {
        val fleet = Fleet(options, client)
        val daemons = fleet.listDaemons().keys
        val current =
            daemons.firstNotNullOfOrNull { daemon ->
                val response = client.get(daemon, "/configuration", ConfigurationMessage::class.java)
                response.onLeft { System.err.println("$daemon: ${it.detail}") }.getOrNull()
            } ?: return ExitCode.UNREACHABLE
        val section = current.sections[SECTION]
        val content = section?.let { replaceState(it.content) }
        if (section == null || content == null) {
            System.err.println("${current.daemon} has no failure domain '$failureDomain' in force")
            return ExitCode.FAILED
        }
        val sent = EditSender(daemons, client).send(EditRequest(edit, SECTION, section.version, content, author))
        sent.answer?.print()
        val revision = sent.answer?.revision
        if (!watch || revision == null) return sent.exitCode
        return RevisionWatch(fleet, Duration.ofSeconds(timeoutSeconds)).await(revision)
    }

    private fun replaceState(content: String): String? {
        val document = Json.read<JsonNode>(content.encodeToByteArray()).getOrNull() as? ObjectNode
        val domain = document?.get(failureDomain) as? ObjectNode ?: return null
        domain.put("state", state.name)
        return document.toString()
    }

    private companion object {
        const val SECTION = "failure-domains"
    }
}
