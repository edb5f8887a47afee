/*
 * Lists the accepted edits that the platform has stored.
 */
package org.vanillalink.tool.configuration

import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** `configuration history`. */
@Command(
    name = "history",
    description = ["Lists accepted edits, newest first. The author is known for each section's last edit only."],
    mixinStandardHelpOptions = true,
)
class ConfigurationHistoryCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    override fun call(): Int = OperatorsClient(options.secret).use { client ->
        for (daemon in options.daemons) {
            val response = client.get(daemon, "/configuration/history", HistoryMessage::class.java)
            response.onLeft { System.err.println("$daemon: ${it.detail}") }
            response.onRight { return@use report(it).number }
        }
        ExitCode.UNREACHABLE.number
    }

    private fun report(history: HistoryMessage): ExitCode {
        if (options.output == OutputFormat.JSON) Output.printJson(history) else print(history)
        if (history.fromPlatform) return ExitCode.DONE
        System.err.println("the platform did not answer; listing only the edits in force at ${history.daemon}")
        return ExitCode.PARTIAL
    }

    private fun print(history: HistoryMessage) = Output.printTable(
        listOf("REVISION", "SECTION", "VERSION", "AUTHOR", "EDIT"),
        history.edits.map { listOf(it.revision, it.section, it.version, it.author, it.edit) },
    )
}
