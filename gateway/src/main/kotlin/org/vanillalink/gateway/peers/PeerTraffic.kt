/*
 * Counts what daemons tell each other, and says so when it takes more of the host's link than it should: callers' bytes
 * wait behind it in queues that no process sees.
 */
package org.vanillalink.gateway.peers

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.logs.EventLines

/** Lives on the control thread. [linkBytesPerSecond] is the host's link, or null where the settings don't tell. */
internal class PeerTraffic(
    private val linkBytesPerSecond: Long?,
    metrics: MeterRegistry,
    private val lines: EventLines,
) {
    private class Second(
        val began: Long,
    ) {
        var sent = 0L
        var received = 0L
        var largest = 0
    }

    private val sentBytes = metrics.summary("vanillalink.peer.bytes", "direction", "sent")
    private val receivedBytes = metrics.summary("vanillalink.peer.bytes", "direction", "received")
    private var current = Second(0)

    /** A message of [size] bytes left at [now] (milliseconds, steady clock). */
    fun sent(
        size: Int,
        now: Long,
    ) {
        sentBytes.record(size.toDouble())
        at(now, size).sent += size
    }

    /** A message of [size] bytes arrived at [now] (milliseconds, steady clock). */
    fun received(
        size: Int,
        now: Long,
    ) {
        receivedBytes.record(size.toDouble())
        at(now, size).received += size
    }

    private fun at(
        now: Long,
        size: Int,
    ): Second {
        if (now - current.began >= MILLISECONDS_PER_SECOND) {
            judge(current)
            current = Second(now)
        }
        current.largest = maxOf(current.largest, size)
        return current
    }

    private fun judge(second: Second) {
        val link = linkBytesPerSecond ?: return
        if (maxOf(second.sent, second.received) <= link / SHARE_OF_LINK) return
        lines.record(
            "peer-traffic-high",
            "sentBytes" to second.sent,
            "receivedBytes" to second.received,
            "largestMessage" to second.largest,
            "linkBytesPerSecond" to link,
        )
    }

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** A tenth of the link; a queue of half a second needs far more, so this tells well before. */
        const val SHARE_OF_LINK = 10
    }
}
