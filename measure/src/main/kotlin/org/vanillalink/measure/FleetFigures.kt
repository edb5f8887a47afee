/*
 * What a run of a fleet of one size gave.
 */
package org.vanillalink.measure

/** What one size of fleet gave; delays in milliseconds. */
internal data class FleetFigures(
    val daemons: Int,
    val domains: Int,
    val delays: List<Double>,
    val baselineDelays: List<Double>,
    val unfinished: Int,
    val quiet: FleetCost,
    val changing: FleetCost,
    val heapBytesPerDaemon: Double,
    val knownPeers: Double,
    val documentBytes: Int,
) {
    /** Bytes that one daemon spends on one change, over what it spends anyway. */
    fun bytesPerChange(): Double =
        (changing.bytesPerDaemonSecond - quiet.bytesPerDaemonSecond) * changing.seconds / EDITS_MEASURED

    /** Messages that one daemon sends for one change, over what it sends anyway. */
    fun messagesPerChange(): Double =
        (changing.messagesPerDaemonSecond - quiet.messagesPerDaemonSecond) * changing.seconds / EDITS_MEASURED

    private companion object {
        const val EDITS_MEASURED = 5
    }
}

/** Costs over a stretch of virtual time; bytes count both directions, messages those sent. */
internal data class FleetCost(
    val seconds: Double,
    val bytesPerDaemonSecond: Double,
    val messagesPerDaemonSecond: Double,
    val microsecondsPerDaemonSecond: Double,
    val readsPerSecond: Double,
)
