/*
 * What control costs a daemon, by each size that it could follow, and what that gives at letter 1's size.
 *
 * Drives whole daemons' decisions (DaemonControl) on virtual time with fake targets, a table in memory and every
 * message coded as JSON. Assumes: paths of 1 ms within a failure domain and 15 ms between domains, table calls of 8 ms,
 * nothing lost, no fault while it counts, weights that load at once, failure domains of one shape, one service and
 * three sections of configuration. Bytes are those of the bodies plus an allowance for HTTP headers; a message between
 * two daemons counts at both. Processor time is the thread's own: DaemonControl.handle, and JSON apart; the network's
 * and the collector's part is not in it. Heap is what a whole model retains after a collection, the fake table and
 * targets with it. One whole failure domain is measured as it is, beside the fits.
 */
package org.vanillalink.measure

import org.vanillalink.testing.Scenario
import java.time.Duration

/** Named `capacity`. With [long], more virtual time and the whole failure domain under load. */
class CapacityMeasurement(
    private val long: Boolean = false,
) : Measurement {
    override val name: String = "capacity"

    override fun run(seed: Long): List<Figure> {
        costs(seed, CapacityShape())
        return perDaemon(seed) + perDomain(seed) + perTarget(seed) + perGroup(seed) + perLoad(seed) + wholeDomain(seed)
    }

    private fun perDaemon(seed: Long): List<Figure> {
        val costs = DAEMON_SIZES.map { costs(seed, CapacityShape(daemons = it)) }
        val peers = DAEMON_SIZES.map { it - 1.0 }
        return CapacitySlopes("peer daemon", peers, DAEMONS - 1.0).figures(costs)
    }

    private fun perDomain(seed: Long): List<Figure> {
        val costs = DOMAIN_SIZES.map { costs(seed, CapacityShape(failureDomains = it, targets = 8, groups = 2)) }
        return CapacitySlopes("failure domain", DOMAIN_SIZES.map { it.toDouble() }, DOMAINS).figures(costs)
    }

    private fun perTarget(seed: Long): List<Figure> {
        val sizes = TARGET_SIZES.map { it.toDouble() }
        val costs = TARGET_SIZES.map { costs(seed, CapacityShape(targets = it, groups = 6)) }
        val slopes = CapacitySlopes("target", sizes, TARGETS)
        val hosts = costs.map { it.bytes.getValue(TrafficKind.HOST_LIST) }
        return slopes.figures(costs) + hostList(LinearFit.of(sizes, hosts))
    }

    /** Each daemon reads the list of the whole fleet. */
    private fun hostList(line: LinearFit): List<Figure> = listOf(
        Figure("host list, slope per host listed", line.slope, "B/s"),
        Figure("host list at 12000 hosts", line.at(FLEET_HOSTS), "B/s", null, BYTES_BUDGET),
    )

    private fun perGroup(seed: Long): List<Figure> {
        val costs = GROUP_SIZES.map { costs(seed, CapacityShape(targets = 182, groups = it)) }
        return CapacitySlopes("group", GROUP_SIZES.map { it.toDouble() }, GROUPS).figures(costs)
    }

    private fun perLoad(seed: Long): List<Figure> {
        val loaded = RUNNING_SIZES.map { costs(seed, CapacityShape(runningAttempts = it)) }
        val requested = REQUEST_SIZES.map { costs(seed, CapacityShape(requestsPerSecond = it)) }
        val changed = CHANGE_SIZES.map { costs(seed, CapacityShape(changesPerSecond = it)) }
        return CapacitySlopes("running attempt of a group, 13 groups", RUNNING_SIZES.map { it.toDouble() }, RUNNING)
            .figures(loaded) +
            CapacitySlopes(
                "request a second",
                REQUEST_SIZES.map { it.toDouble() },
                REQUESTS_PER_DAEMON,
            ).figures(requested) +
            CapacitySlopes("configuration change a second", CHANGE_SIZES, CHANGES).figures(changed)
    }

    /** One whole failure domain of letter 1, idle and in the long form loaded too, measured and not fitted. */
    private fun wholeDomain(seed: Long): List<Figure> {
        val loads = if (long) listOf(0, RUNNING.toInt()) else listOf(0)
        return loads.flatMap { running ->
            val shape = CapacityShape(targets = TARGETS.toInt(), groups = GROUPS.toInt(), runningAttempts = running)
            CapacitySlopes.whole("one failure domain, $running attempts a group", costs(seed, shape))
        }
    }

    private fun costs(
        seed: Long,
        shape: CapacityShape,
    ): CapacityCosts = CapacityModel(Scenario(seed), shape).costs(if (long) COUNTED_LONG else COUNTED)

    internal companion object {
        const val BYTES_BUDGET = "23000"
        const val MICROSECONDS_BUDGET = "12000"
        const val HEAP_BUDGET = "64000000"
        private val DAEMON_SIZES = listOf(2, 5, 9, 14)
        private val DOMAIN_SIZES = listOf(1, 2, 4, 6)
        private val TARGET_SIZES = listOf(26, 91, 182, 364)
        private val GROUP_SIZES = listOf(5, 11, 22, 45)
        private val RUNNING_SIZES = listOf(0, 8, 24, 52)
        private val REQUEST_SIZES = listOf(0, 5, 10, 20)
        private val CHANGE_SIZES = listOf(0.0, 0.5, 1.0, 2.0)
        private const val DAEMONS = 14
        private const val DOMAINS = 33.0
        private const val TARGETS = 364.0
        private const val GROUPS = 91.0
        private const val FLEET_HOSTS = 12_000.0

        /** 2.7 million tokens a second, 58 ms apart, over 3,003 groups. */
        private const val RUNNING = 52.0

        /** 9,500 a second over 450 daemons. */
        private const val REQUESTS_PER_DAEMON = 21.0

        /** 25,000 a day. */
        private const val CHANGES = 0.29
        private val COUNTED: Duration = Duration.ofSeconds(6)
        private val COUNTED_LONG: Duration = Duration.ofSeconds(30)
    }
}
