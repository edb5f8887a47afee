/*
 * Merges the events of all daemons into one ordered list.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.TimelineEvent
import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.OperatorsClient
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.util.concurrent.Callable

/** `timeline`. */
@Command(
    name = "timeline",
    description = ["Prints the events of all daemons in one order."],
    mixinStandardHelpOptions = true,
)
class TimelineCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Option(names = ["--request"], description = ["Only events of this request."])
    private var request: String? = null

    @Option(names = ["--group"], description = ["Only events of this group."])
    private var group: String? = null

    @Option(names = ["--last"], description = ["Only the last N events."])
    private var last: Int = Int.MAX_VALUE

    override fun call(): Int {
        val answers =
            OperatorsClient(options.secret).use { client ->
                options.daemons.map { it to client.get(it, "/events", Array<TimelineEvent>::class.java) }
            }
        answers.forEach { (daemon, answer) ->
            answer.onLeft { System.err.println("no events from $daemon: ${it.detail}") }
        }
        val events = answers.flatMap { (_, answer) -> answer.getOrNull()?.toList().orEmpty() }
        events
            .filter(::isWanted)
            .sortedWith(compareBy({ it.at }, { it.daemon }, { it.sequence }))
            .takeLast(last)
            .forEach(::print)
        return if (answers.all { it.second.isRight() }) ExitCode.DONE.number else ExitCode.PARTIAL.number
    }

    private fun isWanted(event: TimelineEvent): Boolean {
        if (request != null && event.fields["request"] != request) return false
        return group == null || event.fields["group"] == group
    }

    private fun print(event: TimelineEvent) {
        val fields = event.fields.entries.joinToString(" ") { (key, value) -> "$key=$value" }
        println("${event.at} ${event.daemon} ${event.name} $fields")
    }
}
