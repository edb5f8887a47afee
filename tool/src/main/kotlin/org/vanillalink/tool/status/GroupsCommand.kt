/*
 * Lists the serving groups of all failure domains.
 */
package org.vanillalink.tool.status

import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.GroupMessage
import org.vanillalink.tool.GroupsMessage
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import java.util.concurrent.Callable

/** `groups`. */
@Command(
    name = "groups",
    description = ["Lists each daemon's view of its failure domain's groups, and why a group gets no requests."],
    mixinStandardHelpOptions = true,
)
class GroupsCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    override fun call(): Int {
        val results =
            OperatorsClient(options.secret).use { Fleet(options, it).queryAll("/groups", GroupsMessage::class.java) }
        val views = results.mapNotNull { it.response.getOrNull() }
        if (options.output == OutputFormat.JSON) Output.printJson(views) else print(views)
        return Fleet.exitCodeFor(results).number
    }

    private fun print(views: List<GroupsMessage>) {
        Output.printTable(
            listOf("SEEN BY", "GROUP", "GENERATION", "SERVING", "MEMBERS", "STRAGGLER", "CONTROL", "FENCING"),
            views.flatMap { view -> view.groups.map { toRow(view, it) } },
        )
        views.forEach { view ->
            view.services.filter { it.serving < it.desired }.forEach {
                println(
                    "${view.failureDomain}: ${it.service} has ${it.serving} of ${it.desired} groups (${view.daemon})",
                )
            }
        }
    }

    private fun toRow(
        view: GroupsMessage,
        group: GroupMessage,
    ): List<Any?> = listOf(
        view.daemon,
        group.group,
        group.generation,
        group.notServing?.let { "no: $it" } ?: "yes",
        group.members.joinToString(","),
        group.straggler,
        view.control.holder ?: "unknown",
        view.control.fencingNumber,
    )
}
