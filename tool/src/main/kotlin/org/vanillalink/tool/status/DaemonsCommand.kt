/*
 * Lists all daemons with the revision in force at each, and those that could not be queried.
 */
package org.vanillalink.tool.status

import org.vanillalink.tool.DaemonMessage
import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import org.vanillalink.tool.QueryResult
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** A daemon's row; [state] is null if it could not be queried, for the reason in [problem]. */
data class DaemonRow(
    val daemon: String?,
    val endpoint: String,
    val problem: String?,
    val state: DaemonMessage?,
)

/** `daemons` and `configuration status`. */
@Command(
    name = "daemons",
    aliases = ["status"],
    description = [
        "Lists each daemon with the revision in force there, how long ago the platform last confirmed it, whether it " +
            "is ready, who controls its failure domain, and the daemons that could not be queried.",
    ],
    mixinStandardHelpOptions = true,
)
class DaemonsCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    override fun call(): Int {
        val results =
            OperatorsClient(options.secret).use { client ->
                Fleet(options, client).queryAll(Fleet.DAEMONS_PATH, DaemonMessage::class.java)
            }
        val rows = results.map(::toRow)
        if (options.output == OutputFormat.JSON) Output.printJson(rows) else print(rows)
        return Fleet.exitCodeFor(results).number
    }

    private fun toRow(result: QueryResult<DaemonMessage>): DaemonRow {
        val state = result.response.getOrNull()
        val problem = result.response.leftOrNull()?.detail
        return DaemonRow(state?.daemon ?: result.daemon, result.endpoint.toString(), problem, state)
    }

    private fun print(rows: List<DaemonRow>) = Output.printTable(
        listOf("DAEMON", "OPERATORS", "DOMAIN", "READY", "REVISION", "AGE", "PLATFORM", "CONTROL", "FENCING"),
        rows.map { row -> row.state?.let { formatState(row, it) } ?: formatUnknown(row) },
    )

    private fun formatState(
        row: DaemonRow,
        state: DaemonMessage,
    ): List<Any?> = listOf(
        row.daemon,
        row.endpoint,
        state.failureDomain,
        if (state.ready) "yes" else "no: ${state.notReadyReason}",
        state.revision ?: "none",
        state.ageMilliseconds?.let { "$it ms" } ?: "never confirmed",
        if (state.platformReachable) "answers" else "no answer",
        if (state.control.heldHere) "held here" else state.control.holder ?: "unknown",
        state.control.fencingNumber,
    )

    private fun formatUnknown(row: DaemonRow): List<Any?> =
        listOf(row.daemon ?: "unknown", row.endpoint, "unknown", "not asked", "unknown", null, null, null, null)
}
