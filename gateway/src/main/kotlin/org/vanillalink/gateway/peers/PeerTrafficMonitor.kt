/*
 * Counts the bytes of messages between daemons and logs when they use too much of the host's link: callers' traffic
 * then waits behind them in network queues that no process can observe.
 */
package org.vanillalink.gateway.peers

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.logs.EventLogger

/** Confined to the control thread. [linkBytesPerSecond] is the link's capacity, or null where it is not configured. */
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

    /** Records a message of [bytes] bytes sent at [now] (milliseconds, steady clock). */
    fun recordSent(
        bytes: Int,
        now: Long,
    ) {
        sentSummary.record(bytes.toDouble())
        currentWindow(now, bytes).sentBytes += bytes
    }

    /** Records a message of [bytes] bytes received at [now] (milliseconds, steady clock). */
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

        /** A tenth of the link; a queue of half a second needs far more, so the event is logged well before. */
        const val LINK_SHARE_DIVISOR = 10
    }
}
