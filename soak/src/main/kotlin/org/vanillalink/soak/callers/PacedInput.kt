/*
 * The bytes of a caller's connection, read at the caller's pace.
 */
package org.vanillalink.soak.callers

import java.io.IOException
import java.net.Socket
import java.net.SocketTimeoutException

/** The caller stops waiting. */
internal class CallerStops(
    val leaves: Boolean,
) : IOException("the caller stops")

/** Reads at most [chunk] bytes at a time and pauses for [pauseMs] after each. Not thread-safe. */
internal class PacedInput(
    private val socket: Socket,
    chunk: Int,
    private val pauseMs: Long,
    private val now: () -> Long,
) {
    private val buffer = ByteArray(chunk)
    private var position = 0
    private var limit = 0

    /** When the caller gives up, and when it leaves without need. */
    var deadlineMs = Long.MAX_VALUE
    var leavesAtMs = Long.MAX_VALUE

    /** When the first byte since the last [restart] came. */
    var firstByteMs: Long? = null
        private set

    fun restart() {
        firstByteMs = null
    }

    /** Returns the next byte, or -1 at the end. */
    fun read(): Int {
        if (position == limit && !fill()) return -1
        if (firstByteMs == null) firstByteMs = now()
        return buffer[position++].toInt() and BYTE
    }

    private fun fill(): Boolean {
        if (pauseMs > 0) Thread.sleep(pauseMs)
        val stopMs = minOf(deadlineMs, leavesAtMs)
        val leftMs = stopMs - now()
        if (leftMs <= 0) throw CallerStops(leavesAtMs < deadlineMs)
        socket.soTimeout = leftMs.coerceAtMost(LONGEST_WAIT_MS).toInt()
        val count =
            try {
                socket.getInputStream().read(buffer)
            } catch (_: SocketTimeoutException) {
                throw CallerStops(leavesAtMs < deadlineMs)
            }
        if (count <= 0) return false
        position = 0
        limit = count
        return true
    }

    /** Returns what has come although nothing is awaited: null if the connection has ended, else the bytes. */
    fun unasked(): ByteArray? {
        if (position < limit) return buffer.copyOfRange(position, limit).also { position = limit }
        socket.soTimeout = 1
        return try {
            val count = socket.getInputStream().read(buffer)
            if (count < 0) null else buffer.copyOf(count)
        } catch (_: SocketTimeoutException) {
            ByteArray(0)
        } catch (_: IOException) {
            null
        }
    }

    private companion object {
        const val BYTE = 0xff
        const val LONGEST_WAIT_MS = 60_000L
    }
}
