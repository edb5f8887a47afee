/*
 * A caller's raw connection to a daemon.
 */
package org.vanillalink.soak.callers

import org.vanillalink.soak.deployment.DaemonProcess
import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.CallPath
import org.vanillalink.soak.record.Content
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.record.UnaskedBytes
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/** Connection [number], opened at once; throws if that fails. */
internal class CallerConnection(
    daemon: DaemonProcess,
    private val number: Int,
    private val style: CallerStyle,
    private val recorder: Recorder,
) : AutoCloseable {
    private val name = daemon.name
    private val start = daemon.start
    private val isSlow = style == CallerStyle.SLOW_READER || style == CallerStyle.SLOW_AHEAD
    private val socket = Socket()
    private val input =
        PacedInput(socket, if (isSlow) SLOW_CHUNK else CHUNK, if (isSlow) SLOW_PAUSE_MS else 0, recorder::now)
    private val reader = AnswerReader(input)
    private var position = 0

    private class Sent(
        val startedMs: Long,
        val sentMs: Long,
        val isWhole: Boolean,
    )

    init {
        try {
            if (isSlow) socket.receiveBufferSize = SLOW_BUFFER
            socket.tcpNoDelay = true
            val endpoint = daemon.place.callers
            socket.connect(InetSocketAddress(endpoint.address, endpoint.port), CONNECT_TIMEOUT_MS)
        } catch (failure: IOException) {
            socket.close()
            throw failure
        }
    }

    /** Whether the connection is open; bytes that nobody has asked for are recorded, and end its use. */
    fun isUsable(): Boolean {
        val bytes = input.unasked() ?: return false
        if (bytes.isEmpty()) return true
        recorder.add(UnaskedBytes(path(), recorder.now(), AnswerContent.excerpt(bytes)))
        return false
    }

    /** Sends [requests] one after the other, [aheadMs] apart, and reads their answers then. */
    fun call(
        requests: List<PreparedRequest>,
        leavesAfterMs: Long?,
        aheadMs: Long,
    ): List<Call> {
        val sent =
            requests.mapIndexed { index, request ->
                if (index > 0) Thread.sleep(aheadMs)
                send(request)
            }
        input.leavesAtMs = leavesAfterMs?.let { recorder.now() + it } ?: Long.MAX_VALUE
        val calls = mutableListOf<Call>()
        requests.forEachIndexed { index, request ->
            position += 1
            val previous = calls.lastOrNull()
            val isOver = previous != null && (previous.end != CallEnd.WHOLE || previous.head?.isLast == true)
            calls += if (isOver) unread(request, sent[index], previous!!) else read(request, sent[index])
        }
        return calls
    }

    private fun send(request: PreparedRequest): Sent {
        val startedMs = recorder.now()
        return try {
            request.pieces.forEachIndexed { index, piece ->
                if (index > 0) Thread.sleep(request.pauseMs)
                socket.getOutputStream().write(piece)
            }
            Sent(startedMs, recorder.now(), true)
        } catch (_: IOException) {
            Sent(startedMs, recorder.now(), false)
        }
    }

    private fun read(
        request: PreparedRequest,
        sent: Sent,
    ): Call {
        input.deadlineMs = sent.startedMs + request.sent.deadlineMilliseconds + PATIENCE_MS
        val answer = reader.read()
        val isWhole = answer.end == CallEnd.WHOLE
        val end = if (sent.isWhole || isWhole || answer.head != null) answer.end else CallEnd.NOT_SENT
        val isOfTarget = answer.head?.signature != null
        val content =
            when {
                answer.isStream -> AnswerContent.ofStream(answer.body, isWhole)
                isWhole && isOfTarget -> AnswerContent.ofPlain(answer.body)
                else -> Content(answer.body.size)
            }
        val detail = if (isWhole && !isOfTarget) AnswerContent.excerpt(answer.body) else answer.detail
        return Call(
            request.sent,
            path(),
            sent.startedMs,
            sent.sentMs,
            input.firstByteMs,
            recorder.now(),
            end,
            answer.head,
            content,
            detail,
            style.name,
        )
    }

    /** The connection has ended before [previous], which was sent before [request], or right after it. */
    private fun unread(
        request: PreparedRequest,
        sent: Sent,
        previous: Call,
    ): Call {
        val end = if (previous.end == CallEnd.WHOLE) CallEnd.CLOSED else previous.end
        val detail = "behind ${previous.id}, which ended ${previous.end}"
        return Call(
            request.sent,
            path(),
            sent.startedMs,
            sent.sentMs,
            null,
            recorder.now(),
            end,
            null,
            Content(),
            detail,
            style.name,
        )
    }

    private fun path() = CallPath(name, start, number, position)

    override fun close() = socket.close()

    private companion object {
        const val CHUNK = 16_384
        const val SLOW_CHUNK = 1_024
        const val SLOW_PAUSE_MS = 5L
        const val SLOW_BUFFER = 4_096
        const val CONNECT_TIMEOUT_MS = 1_000
        const val PATIENCE_MS = 500L
    }
}
