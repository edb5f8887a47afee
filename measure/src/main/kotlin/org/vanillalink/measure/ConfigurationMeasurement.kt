/*
 * How fast an accepted edit is in force everywhere and what heartbeats cost, by size of fleet.
 *
 * Drives the daemons' own replica and membership rules on virtual time at four sizes. Assumes: one-way delay 1 ms
 * within a failure domain and 2 to 30 ms between domains, table calls of 5 to 40 ms that never fail, no lost message,
 * one daemon in each domain counting services every 5 s, and a document of one service and 20 workspaces. Bytes are
 * those of the JSON bodies plus a fixed allowance for HTTP headers. The baseline is a document polled whole by each
 * daemon every 2 s: its delay is drawn by the same seed, its bytes are those of the same document.
 */
package org.vanillalink.measure

import org.vanillalink.testing.Scenario
import java.time.Duration

/** See the head of the file; name `configuration`. */
class ConfigurationMeasurement : Measurement {
    override val name: String = "configuration"

    override fun run(seed: Long): List<Figure> {
        warmUp(seed)
        val runs = SIZES.map { (daemons, domains) -> measure(seed, daemons, domains) }
        return runs.flatMap { figures(it) } + slopes(runs)
    }

    private fun warmUp(seed: Long) {
        repeat(WARM_UPS) { measure(seed, SIZES.first().first, SIZES.first().second) }
    }

    private fun measure(
        seed: Long,
        daemons: Int,
        domains: Int,
    ): FleetFigures {
        val fleet = MeasuredFleet(Scenario(seed), daemons, domains)
        fleet.run(SETTLING)
        val quiet = fleet.costOf { fleet.run(QUIET) }
        val changing = fleet.costOf { repeat(EDITS) { fleet.editAndWait(EDIT_INTERVAL) } }
        return FleetFigures(
            daemons = daemons,
            domains = domains,
            delays = fleet.delays.sorted(),
            baselineDelays = fleet.baselineDelays.sorted(),
            unfinished = fleet.unfinished,
            quiet = quiet,
            changing = changing,
            heapBytesPerDaemon = fleet.heapBytesPerDaemon(),
            knownPeers = fleet.knownPeers(),
            documentBytes = fleet.documentBytes(),
        )
    }

    private fun figures(run: FleetFigures): List<Figure> {
        val label = "${run.daemons} daemons, ${run.domains} failure domains"
        val polledBytes = (run.documentBytes + HTTP_BYTES_PER_CALL) / BASELINE_POLL_SECONDS
        return listOf(
            delay(run, label, "p50", HALF),
            delay(run, label, "p95", NINETY_FIVE),
            delay(run, label, "max", 1.0),
            Figure("edits not in force everywhere, $label", run.unfinished.toDouble(), "edits"),
            Figure("platform reads, $label", run.changing.readsPerSecond, "reads/s", baselineReads(run), "2000"),
            Figure(
                "control bytes in and out, quiet, $label",
                run.quiet.bytesPerDaemonSecond,
                "B/s",
                polledBytes,
                "23000",
            ),
            Figure("messages out, quiet, $label", run.quiet.messagesPerDaemonSecond, "messages/s per daemon"),
            Figure("bytes per change, $label", run.bytesPerChange(), "B per daemon", run.documentBytes.toDouble()),
            Figure("messages per change, $label", run.messagesPerChange(), "messages per daemon"),
            Figure("processor time, quiet, $label", run.quiet.microsecondsPerDaemonSecond, "us/s per daemon"),
            Figure("heap, $label", run.heapBytesPerDaemon, "B per daemon"),
            Figure("peers known, $label", run.knownPeers, "daemons"),
        )
    }

    private fun delay(
        run: FleetFigures,
        label: String,
        name: String,
        quantile: Double,
    ): Figure {
        val value = quantileOf(run.delays, quantile)
        val baseline = quantileOf(run.baselineDelays, quantile)
        return Figure("accepted edit in force at a daemon $name, $label", value, "ms", baseline, "15000 at all")
    }

    private fun baselineReads(run: FleetFigures): Double = run.daemons * SECTIONS_AND_REVISION / BASELINE_POLL_SECONDS

    private fun slopes(runs: List<FleetFigures>): List<Figure> {
        val domains = runs.map { it.domains.toDouble() }
        val perDomain =
            listOf(
                fit("control bytes per failure domain", "B/s", domains, runs.map { it.quiet.bytesPerDaemonSecond }),
                fit("processor per failure domain", "us/s", domains, runs.map { it.quiet.microsecondsPerDaemonSecond }),
                fit("platform reads per failure domain", "reads/s", domains, runs.map { it.changing.readsPerSecond }),
                fit("bytes per change, by failure domain", "B", domains, runs.map { it.bytesPerChange() }),
                fit("longest delay per failure domain", "ms", domains, runs.map { it.delays.last() }),
            )
        val peers = runs.map { it.knownPeers }
        val perPeer =
            listOf(
                fit("heap per known peer", "B", peers, runs.map { it.heapBytesPerDaemon }),
                fit("processor per known peer", "us/s", peers, runs.map { it.quiet.microsecondsPerDaemonSecond }),
            )
        return (perDomain + perPeer).flatten()
    }

    private fun fit(
        what: String,
        unit: String,
        sizes: List<Double>,
        values: List<Double>,
    ): List<Figure> {
        val line = LinearFit.of(sizes, values)
        return listOf(
            Figure("slope: $what", line.slope, unit),
            Figure("intercept: $what", line.intercept, unit),
        )
    }

    private fun quantileOf(
        sorted: List<Double>,
        quantile: Double,
    ): Double = sorted[minOf(sorted.size - 1, (sorted.size * quantile).toInt())]

    private companion object {
        val SIZES = listOf(14 to 1, 28 to 2, 56 to 4, 112 to 8)
        val SETTLING: Duration = Duration.ofSeconds(40)
        val QUIET: Duration = Duration.ofSeconds(15)
        val EDIT_INTERVAL: Duration = Duration.ofMillis(3_456)
        const val EDITS = 5
        const val WARM_UPS = 1
        const val HALF = 0.5
        const val NINETY_FIVE = 0.95
        const val BASELINE_POLL_SECONDS = 2.0
        const val SECTIONS_AND_REVISION = 6
    }
}

/** An allowance for the headers of one HTTP request and its answer, in bytes. */
internal const val HTTP_BYTES_PER_CALL = 300
