/*
 * Sizes of the capacity model, and what a run of one size costs.
 */
package org.vanillalink.measure

/**
 * A fleet: [daemons], [targets] and [groups] are those of each of [failureDomains]. Each group's first member reports
 * [runningAttempts], one of them new in each report. Each daemon takes [requestsPerSecond], and operators make
 * [changesPerSecond] edits.
 */
internal data class CapacityShape(
    val failureDomains: Int = 1,
    val daemons: Int = 14,
    val targets: Int = 52,
    val groups: Int = 13,
    val runningAttempts: Int = 0,
    val requestsPerSecond: Int = 0,
    val changesPerSecond: Double = 0.0,
)

/** What bytes are spent on. */
internal enum class TrafficKind(
    val text: String,
) {
    HEARTBEAT("heartbeats"),
    REPORT_SHARING("sharing reports"),
    REPORT_FETCHING("fetching reports"),
    CONFIGURATION("configuration from peers"),
    TABLE("table"),
    HOST_LIST("host list"),
}

/** Running totals of a whole model. */
internal class CapacityCounters {
    /** Nanoseconds of the thread's processor time within [org.vanillalink.control.DaemonControl.handle]. */
    var deciding = 0L

    /** Nanoseconds of the thread's processor time spent on JSON. */
    var coding = 0L
    var rowsRead = 0L
    var rowsWritten = 0L
    val bytes = LongArray(TrafficKind.entries.size)

    fun copy(): CapacityCounters {
        val copied = CapacityCounters()
        copied.deciding = deciding
        copied.coding = coding
        copied.rowsRead = rowsRead
        copied.rowsWritten = rowsWritten
        bytes.copyInto(copied.bytes)
        return copied
    }
}

/** Costs of one size: of one daemon and of the busiest one, and of rows in a failure domain, a second; heap of one. */
internal data class CapacityCosts(
    val decidingMicroseconds: Double,
    val busiestMicroseconds: Double,
    val codingMicroseconds: Double,
    val bytes: Map<TrafficKind, Double>,
    val rowsRead: Double,
    val rowsWritten: Double,
    val heapBytes: Double,
    val knownPeers: Double,
) {
    /** All bytes in and out but the host list's, which follows the fleet and is fitted alone. */
    val controlBytes: Double get() = bytes.filterKeys { it != TrafficKind.HOST_LIST }.values.sum()
}
