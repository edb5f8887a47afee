/*
 * Merges the events of all daemons into one list.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.TimelineEvent
import org.vanillalink.tool.DaemonOptions
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.Fleet
import org.vanillalink.tool.OperatorsClient
import org.vanillalink.tool.Output
import org.vanillalink.tool.OutputFormat
import picocli.CommandLine.Command
import picocli.CommandLine.Mixin
import picocli.CommandLine.Option
import java.nio.file.Path
import java.time.Instant
import java.util.concurrent.Callable

/** `timeline`. */
@Command(
    name = "timeline",
    description = [
        "Prints the events of all daemons, merged in the order of the daemons' own clocks.",
        "Names the daemons whose events are missing. With --log, reads log files instead of querying daemons.",
    ],
    mixinStandardHelpOptions = true,
)
class TimelineCommand : Callable<Int> {
    @Mixin
    private lateinit var options: DaemonOptions

    @Option(names = ["--request"], description = ["Only this request, also at daemons that it was forwarded to."])
    private var request: String? = null

    @Option(names = ["--group"], description = ["Only events of this group."])
    private var group: String? = null

    @Option(names = ["--target"], description = ["Only events that name this host."])
    private var target: String? = null

    @Option(names = ["--since"], description = ["Only events at or after this time, such as 2026-01-31T08:00:00Z."])
    private var since: Instant? = null

    @Option(names = ["--until"], description = ["Only events at or before this time."])
    private var until: Instant? = null

    @Option(names = ["--last"], description = ["Only the last N events."])
    private var last: Int = Int.MAX_VALUE

    @Option(names = ["--follow"], description = ["Keep printing new events until interrupted."])
    private var follow: Boolean = false

    @Option(names = ["--log"], description = ["Log files of daemons, separated by commas."], split = ",")
    private var logs: List<Path> = emptyList()

    override fun call(): Int = if (logs.isEmpty()) queryDaemons() else readLogs()

    private fun readLogs(): Int {
        createFilter().apply(logs.flatMap(LogReader::read)).takeLast(last).forEach(::print)
        return ExitCode.DONE.number
    }

    private fun createFilter() = TimelineFilter(request, group, target, since, until)

    private fun queryDaemons(): Int = OperatorsClient(options.secret).use { client ->
        val fleet = Fleet(options, client)
        val seen = mutableSetOf<Pair<String, Long>>()
        var exitCode = printNewEvents(fleet, last, seen)
        while (follow) {
            Thread.sleep(FOLLOW_INTERVAL_MILLISECONDS)
            exitCode = printNewEvents(fleet, Int.MAX_VALUE, seen)
        }
        exitCode.number
    }

    /** Prints events that are not in [seen]. Events fetched late are printed after newer ones of other daemons. */
    private fun printNewEvents(
        fleet: Fleet,
        maxEvents: Int,
        seen: MutableSet<Pair<String, Long>>,
    ): ExitCode {
        val results = fleet.queryAll("/events", Array<TimelineEvent>::class.java)
        val events =
            results.flatMap {
                it.response
                    .getOrNull()
                    ?.toList()
                    .orEmpty()
            }
        val selected = createFilter().apply(events)
        val newEvents = selected.filter { it.daemon.value to it.sequence !in seen }.takeLast(maxEvents)
        selected.forEach { seen.add(it.daemon.value to it.sequence) }
        newEvents.forEach(::print)
        return Fleet.exitCodeFor(results)
    }

    private fun print(event: TimelineEvent) {
        if (options.output == OutputFormat.JSON) return Output.printJson(event)
        val fields = event.fields.entries.joinToString(" ") { (key, value) -> "$key=$value" }
        println("${event.at} ${event.daemon} ${event.name} $fields")
    }

    private companion object {
        const val FOLLOW_INTERVAL_MILLISECONDS = 1_000L
    }
}
