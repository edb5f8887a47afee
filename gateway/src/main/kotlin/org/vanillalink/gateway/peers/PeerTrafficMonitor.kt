/*
 * Counts what daemons tell each other, and says so when it takes more of the host's link than it should: callers' bytes
 * wait behind it in queues that no process sees.
 */
package org.vanillalink.gateway.peers

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.logs.EventLogger

/** Lives on the control thread. [linkBytesPerSecond] is the host's link, or null where the settings don't tell. */
internal class PeerTrafficMonitor(
    private val linkBytesPerSecond: Long?,
    metrics: MeterRegistry,
    private val eventLogger: EventLogger,
) {
    private class TrafficWindow(
        val startedAt: Long,
    ) {
        var sentBytes = 0L
        var receivedBytes = 0L
        var largestMessageBytes = 0
    }

    private val sentSummary = metrics.summary("vanillalink.peer.bytes", "direction", "sent")
    private val receivedSummary = metrics.summary("vanillalink.peer.bytes", "direction", "received")
    private var window = TrafficWindow(0)

    /** A message of [bytes] bytes left at [now] (milliseconds, steady clock). */
    fun recordSent(
        bytes: Int,
        now: Long,
    ) {
        sentSummary.record(bytes.toDouble())
        currentWindow(now, bytes).sentBytes += bytes
    }

    /** A message of [bytes] bytes arrived at [now] (milliseconds, steady clock). */
    fun recordReceived(
        bytes: Int,
        now: Long,
    ) {
        receivedSummary.record(bytes.toDouble())
        currentWindow(now, bytes).receivedBytes += bytes
    }

    private fun currentWindow(
        now: Long,
        bytes: Int,
    ): TrafficWindow {
        if (now - window.startedAt >= MILLISECONDS_PER_SECOND) {
            logIfExcessive(window)
            window = TrafficWindow(now)
        }
        window.largestMessageBytes = maxOf(window.largestMessageBytes, bytes)
        return window
    }

    private fun logIfExcessive(window: TrafficWindow) {
        val linkBytes = linkBytesPerSecond ?: return
        if (maxOf(window.sentBytes, window.receivedBytes) <= linkBytes / LINK_SHARE_DIVISOR) return
        eventLogger.record(
            "peer-traffic-high",
            "sentBytes" to window.sentBytes,
            "receivedBytes" to window.receivedBytes,
            "largestMessage" to window.largestMessageBytes,
            "linkBytesPerSecond" to linkBytes,
        )
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** A tenth of the link; a queue of half a second needs far more, so this tells well before. */
        const val LINK_SHARE_DIVISOR = 10
    }
}
