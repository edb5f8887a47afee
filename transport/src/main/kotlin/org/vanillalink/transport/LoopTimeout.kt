/*
 * A timeout in time for which an event loop ran. A loop that is late has neither sent requests nor read responses, so
 * that this time is no evidence against a server.
 */
package org.vanillalink.transport

import io.netty.channel.EventLoop
import io.netty.util.concurrent.Future
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Calls [onExpired] on the [loop] of the time, unless cancelled before. */
internal class LoopTimeout(
    private val loop: () -> EventLoop,
    timeout: Duration,
    private val onExpired: () -> Unit,
) {
    private val partNanoseconds = timeout.toNanos() / PARTS

    @Volatile
    private var isCancelled = false

    @Volatile
    private var scheduled: Future<*>? = null

    fun start() = startPart(PARTS)

    /** May be called on any thread. */
    fun cancel() {
        isCancelled = true
        scheduled?.cancel(false)
    }

    /** However late the loop is, no more than one part passes in each of its turns. */
    private fun startPart(partsLeft: Int) {
        scheduled = loop().schedule({ onPartEnded(partsLeft - 1) }, partNanoseconds, TimeUnit.NANOSECONDS)
    }

    private fun onPartEnded(partsLeft: Int) {
        when {
            isCancelled -> return
            partsLeft > 0 -> startPart(partsLeft)
            else -> onExpired()
        }
    }

    private companion object {
        /** The turns that a loop needs to connect, to send and to read, and one in between for the server. */
        const val PARTS = 4
    }
}
