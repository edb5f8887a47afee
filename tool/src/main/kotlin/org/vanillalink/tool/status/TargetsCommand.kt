/*
 * Lists the targets of all failure domains.
 */
package org.vanillalink.tool.status

import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import org.vanillalink.tool.TargetMessage
import org.vanillalink.tool.TargetsMessage
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** `targets`. */
@Command(
    name = "targets",
    description = ["Lists each daemon's view of its failure domain's targets, and why a target gets no requests."],
    mixinStandardHelpOptions = true,
)
class TargetsCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    override fun call(): Int {
        val results =
            OperatorsClient(options.secret).use { Fleet(options, it).queryAll("/targets", TargetsMessage::class.java) }
        val views = results.mapNotNull { it.response.getOrNull() }
        if (options.output == OutputFormat.JSON) Output.printJson(views) else print(views)
        return Fleet.exitCodeFor(results).number
    }

    private fun print(views: List<TargetsMessage>) = Output.printTable(
        listOf("SEEN BY", "HOST", "WORKING", "GROUP", "RANK", "PHASE", "COLD", "BEARS", "RUNNING", "FENCING", "AGE"),
        views.flatMap { view -> view.targets.map { toRow(view, it) } },
    )

    private fun toRow(
        view: TargetsMessage,
        target: TargetMessage,
    ): List<Any?> = listOf(
        view.daemon,
        target.host,
        target.notServing?.let { "no: $it" } ?: "yes",
        target.group ?: target.service,
        target.rank,
        target.phase,
        target.cold,
        target.bearableRequests,
        target.runningAttempts,
        target.fencingNumber,
        target.reportAgeMilliseconds?.let { "$it ms" },
    )
}
