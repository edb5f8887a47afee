/*
 * One connection from a daemon to a target, with faults. Requests and answers are bytes between which the connection
 * is idle.
 */
package org.vanillalink.soak.targets

import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Passage
import org.vanillalink.soak.record.Recorder

/** What all connections of a target share. */
internal class ProxySettings(
    val target: String,
    val chooser: FaultChooser,
    val recorder: Recorder,
    /** Until when nothing passes; 0 while all does. */
    val silentUntilMs: () -> Long,
)

/** Connection [number] of a target. */
internal class ProxyConnection(
    private val pipe: ProxyPipe,
    private val number: Int,
    private val settings: ProxySettings,
) : PipeEvents {
    private val recorder = settings.recorder
    private var position = 0
    private var requestId: String? = null
    private var requestStartedMs = 0L
    private var answer = AnswerFraming()
    private var fault: ConnectionFault? = null
    private var held: MutableList<() -> Unit>? = null
    private var ownSilentUntilMs = 0L
    private var isBroken = false

    /** Written before the next answer. */
    private var beforeNextAnswer = ByteArray(0)
    private var closesWithNextRequest: ConnectionFault.EarlyClose? = null
    private var pendingStutter: Pair<ConnectionFault.Stutter, ByteArray>? = null

    /** Identifies the request under way; null on an idle connection. */
    private val isBusy: Boolean get() = requestId != null

    override fun onRequestBytes(bytes: ByteArray) = pass(idIn(bytes)) {
        if (!isBusy) beginRequest(bytes)
        if (!isBroken) pipe.toTarget(bytes)
    }

    private fun beginRequest(bytes: ByteArray) {
        position += 1
        requestId = idIn(bytes)
        requestStartedMs = recorder.now()
        answer = AnswerFraming()
        fault = settings.chooser.choose(recorder.now())
        closesWithNextRequest?.let {
            record(it, "as the request came")
            breakOff()
            return pipe.close()
        }
        pendingStutter?.let { (stutter, copy) ->
            pendingStutter = null
            record(stutter, "${copy.size} bytes, ${stutter.time}")
            if (stutter.time == StutterTime.WITH_NEXT_REQUEST) pipe.toCaller(copy) else beforeNextAnswer = copy
        }
    }

    private fun idIn(bytes: ByteArray): String {
        val head = String(bytes, Charsets.ISO_8859_1)
        return REQUEST_ID.find(head)?.groupValues?.get(1) ?: "own ${head.substringBefore("\r\n").take(LONGEST_OWN)}"
    }

    override fun onAnswerBytes(bytes: ByteArray) = pass(requestId) {
        if (!isBusy) {
            pipe.toCaller(bytes)
        } else {
            passAnswer(bytes)
        }
    }

    private fun passAnswer(bytes: ByteArray) {
        val earlier = answer.size
        answer.add(bytes)
        when (val current = fault) {
            is ConnectionFault.Stop -> if (stops(current, earlier, bytes)) return
            is ConnectionFault.Endless -> if (answer.headLength > 0) return goOnWithoutEnd(current)
            is ConnectionFault.Silence -> if (answer.size > current.afterBytes) beSilent(current)
            else -> Unit
        }
        if (beforeNextAnswer.isNotEmpty()) {
            pipe.toCaller(beforeNextAnswer + bytes)
            beforeNextAnswer = ByteArray(0)
        } else {
            pipe.toCaller(bytes)
        }
        if (answer.isWhole) endRequest("whole")
    }

    /** Ends the connection within [bytes], of which [earlier] bytes came before, if it's the place for [stop]. */
    private fun stops(
        stop: ConnectionFault.Stop,
        earlier: Long,
        bytes: ByteArray,
    ): Boolean {
        if (answer.headLength == 0) return false
        val isInHead = stop.kind == FaultKind.STOP_IN_HEAD
        val place =
            if (isInHead) {
                1 + (stop.share * (answer.headLength - 1)).toLong()
            } else {
                answer.headLength + stop.bodyBytes.toLong()
            }
        if (place >= answer.size) return false
        record(stop, "after $place bytes${if (stop.resets) ", reset" else ""}")
        pipe.toCaller(bytes.copyOf((place - earlier).toInt().coerceAtLeast(0)))
        breakOff()
        pipe.schedule(STOP_DELAY_MS) { pipe.close(stop.resets) }
        return true
    }

    private fun goOnWithoutEnd(endless: ConnectionFault.Endless) {
        record(endless, "${endless.place}")
        val head = String(answer.bytes(), Charsets.ISO_8859_1).substring(0, answer.headLength)
        breakOff()
        pipe.leaveTarget()
        EndlessAnswer(pipe, endless.place, head).start()
    }

    private fun beSilent(silence: ConnectionFault.Silence) {
        fault = null
        record(silence, "${silence.milliseconds} ms after ${silence.afterBytes} bytes")
        ownSilentUntilMs = recorder.now() + silence.milliseconds
    }

    /** Nothing more of the target passes. */
    private fun breakOff() {
        endRequest("broken off")
        isBroken = true
    }

    private fun endRequest(how: String) {
        val id = requestId ?: return
        val now = recorder.now()
        recorder.add(
            Passage(id, settings.target, number, position, requestStartedMs, now.takeIf { how == "whole" }, how),
        )
        requestId = null
        when (val current = fault) {
            is ConnectionFault.Stutter -> if (how == "whole") stutter(current)
            is ConnectionFault.EarlyClose -> closeEarly(current)
            else -> Unit
        }
        fault = null
    }

    private fun stutter(stutter: ConnectionFault.Stutter) {
        val all = answer.bytes()
        val copy = stutter.bytes?.let { all.copyOf(minOf(it, all.size - 1)) } ?: all
        if (stutter.time != StutterTime.AFTER_ANSWER) {
            pendingStutter = stutter to copy
            return
        }
        val write = {
            // Within the next answer nobody could tell the bytes from its own.
            val isWithinAnswer = isBusy && answer.size > 0
            if (pipe.isOpen && !isBroken && !isWithinAnswer) {
                record(stutter, "${copy.size} bytes, ${stutter.delayMs} ms after the answer")
                pipe.toCaller(copy)
            }
        }
        if (stutter.delayMs == 0L) write() else pipe.schedule(stutter.delayMs, write)
    }

    private fun closeEarly(early: ConnectionFault.EarlyClose) {
        if (early.delayMs == null) {
            closesWithNextRequest = early
            return
        }
        val idleAt = position
        pipe.schedule(early.delayMs) {
            if (position == idleAt && !isBusy && pipe.isOpen) {
                record(early, "")
                pipe.close()
            }
        }
    }

    override fun onCallerClosed() {
        endRequest("caller closed")
        pipe.leaveTarget()
        isBroken = true
    }

    override fun onTargetClosed() = pass(requestId) {
        endRequest("target closed")
        pipe.close()
    }

    /** Does [action] now, or once the silence has ended, after all that came before. */
    private fun pass(
        id: String?,
        action: () -> Unit,
    ) {
        if (isBroken) return
        val queue = held
        if (queue != null) {
            queue += action
            return
        }
        if (recorder.now() < silentUntilMs()) {
            held = mutableListOf(action)
            if (settings.silentUntilMs() > recorder.now()) recordSilence(id)
            pipe.schedule(silentUntilMs() - recorder.now(), ::goOn)
            return
        }
        action()
    }

    private fun recordSilence(id: String?) {
        recorder.add(InjectedFault(FaultKind.SILENT_TARGET, recorder.now(), settings.target, id, "of the target"))
    }

    private fun goOn() {
        val actions = held.orEmpty()
        held = null
        actions.forEach { pass(requestId, it) }
    }

    private fun silentUntilMs() = maxOf(ownSilentUntilMs, settings.silentUntilMs())

    private fun record(
        fault: ConnectionFault,
        detail: String,
    ) {
        recorder.add(
            InjectedFault(fault.kind, recorder.now(), settings.target, requestId, detail, number),
        )
    }

    private companion object {
        const val STOP_DELAY_MS = 20L
        const val LONGEST_OWN = 40
        val REQUEST_ID = Regex("(?im)^request-id: *([^\r\n]*)")
    }
}
