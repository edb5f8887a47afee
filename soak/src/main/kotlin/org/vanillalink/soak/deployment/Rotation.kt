/*
 * Which daemons get new connections, as the platform chooses them.
 */
package org.vanillalink.soak.deployment

import org.vanillalink.model.Endpoint
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.record.UnreadyAnswer
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import kotlin.concurrent.thread
import kotlin.random.Random

/** Asks each of [daemons] once a second; two misses take one out until it answers with 200 again. */
internal class Rotation(
    private val daemons: List<DaemonProcess>,
    private val recorder: Recorder,
) {
    private class Standing {
        @Volatile
        var misses = MISSES
    }

    private val standings = daemons.associateWith { Standing() }

    fun start() {
        daemons.forEach { daemon ->
            thread(isDaemon = true, name = "readiness-${daemon.name}") {
                val standing = standings.getValue(daemon)
                while (true) {
                    val status = readiness(daemon.place.readiness)
                    standing.misses = if (status == READY) 0 else standing.misses + 1
                    if (status != READY && status != null) {
                        recorder.add(UnreadyAnswer(daemon.name, daemon.start, recorder.now()))
                    }
                    Thread.sleep(PERIOD_MS)
                }
            }
        }
    }

    val readyCount: Int get() = daemons.count(::isInRotation)

    private fun isInRotation(daemon: DaemonProcess) = standings.getValue(daemon).misses < MISSES

    /** Returns a daemon of [failureDomain]; any of it if fewer than half of them are in rotation. */
    fun choose(
        failureDomain: String,
        random: Random,
    ): DaemonProcess {
        val all = daemons.filter { it.place.failureDomain == failureDomain }
        val ready = all.filter(::isInRotation)
        val others = daemons.filter(::isInRotation)
        return when {
            ready.isEmpty() && others.isNotEmpty() -> others.random(random)
            ready.size * 2 < all.size -> all.random(random)
            else -> ready.random(random)
        }
    }

    /** Returns the status of the answer, or null without one. */
    private fun readiness(endpoint: Endpoint): String? = try {
        Socket().use { socket ->
            socket.soTimeout = TIMEOUT_MS
            socket.connect(InetSocketAddress(endpoint.address, endpoint.port), TIMEOUT_MS)
            socket.getOutputStream().write(REQUEST)
            String(socket.getInputStream().readNBytes(STATUS_LENGTH)).substringAfter(' ', "").ifEmpty { null }
        }
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val MISSES = 2
        const val READY = "200"
        const val PERIOD_MS = 1_000L
        const val TIMEOUT_MS = 500
        const val STATUS_LENGTH = 12
        val REQUEST = "GET /api/readiness HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n".toByteArray()
    }
}
