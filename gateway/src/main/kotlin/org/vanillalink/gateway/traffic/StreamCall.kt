/*
 * A call with a stream of events as its response. Complete events are passed on as they are received. When a group
 * breaks, the stream resumes at another group after the last event that the caller received, in the same response.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.RefusalReason
import org.vanillalink.transport.BodyOverflow
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HeldBody
import org.vanillalink.transport.ResponseWriter

internal class StreamCall(
    context: CallContext,
    request: AdmittedRequest,
    response: ResponseWriter,
) : ProxiedCall(context, request, response) {
    private var splitter = newSplitter()
    private var status = 0
    private var headers = HeaderFields()
    private var isResponseStarted = false
    private var lastEventId: Long? = request.metadata.lastEventId
    private var isEventStream = false
    private var failureBody = newFailureBody()
    private var resumptions = 0

    /** When the first event of the current response was received, or null. */
    private var firstEventAt: Long? = null
    private var endsWithConnection = false
    override val timing = StreamTiming(request.arrivedAt)

    override fun onAcceptedHead(
        status: Int,
        headers: HeaderFields,
        metadata: ResponseMetadata,
    ) {
        releaseResponse()
        splitter = newSplitter()
        failureBody = newFailureBody()
        isEventStream = status == STATUS_OK && isEventStreamType(headers["content-type"])
        if (isResponseStarted) resumptions += 1
        firstEventAt = null
        endsWithConnection = endsWithConnection(headers)
        if (!isResponseStarted) {
            this.status = status
            this.headers = headers
        }
        if (!isEventStream && isResponseStarted) failAttempt("failed-on-resume-$status")
    }

    override fun onBodyChunk(bytes: ByteArray) {
        if (!isEventStream) {
            appendFailureBody(bytes)
            return
        }
        val events = splitter.append(bytes)
        splitter.overflow?.let {
            val reason = if (it == BodyOverflow.TOO_LARGE) "event-without-end" else "memory-limit"
            failAttempt(reason, isTargetFaulty = true)
            return
        }
        if (events == null) return
        val fault = findFault(events)
        if (fault != null) {
            failAttempt(fault)
            return
        }
        dropHedge()
        firstEventAt?.let(evidence::recordAnswer)
        if (firstEventAt == null) {
            attempts.recordFirstEvent()
            context.waitingCalls.recordFirstAnswer(request, attemptMilliseconds)
        }
        firstEventAt = firstEventAt ?: now
        lastEventId = events.ids.lastOrNull() ?: lastEventId
        startResponse()
        timing.recordEvent(now)
        response.write(events.bytes)
    }

    /** Returns why [events] can't follow what the caller has, or null. */
    private fun findFault(events: CompleteEvents): String? {
        if (events.hasForeignText) return "event-without-id"
        var previous = lastEventId
        events.ids.forEach { id ->
            val expected = previous?.plus(1) ?: id
            if (id != expected) return "event-$id-after-$previous"
            previous = id
        }
        return null
    }

    private fun appendFailureBody(bytes: ByteArray) {
        when (failureBody.append(bytes)) {
            null -> return
            BodyOverflow.TOO_LARGE -> failAttempt("failure-too-large", isTargetFaulty = true)
            BodyOverflow.MEMORY_LIMIT -> failAttempt("memory-limit", isTargetFaulty = true)
        }
    }

    override fun releaseResponse() {
        splitter.release()
        failureBody.release()
    }

    private fun newSplitter() = EventSplitter(context.memory) { failAttempt("memory-limit", isTargetFaulty = true) }

    private fun newFailureBody() = HeldBody(context.memory, MAX_FAILURE_BODY_BYTES) {
        failAttempt("memory-limit", isTargetFaulty = true)
    }

    private fun startResponse() {
        if (isResponseStarted) return
        isResponseStarted = true
        response.start(status, context.protocol.responseHeaders(headers))
    }

    override fun onComplete() {
        if (isEventStream && (splitter.isMidEvent || isCutBeforeFirstEvent)) {
            onBrokenOff("ended-mid-event")
            return
        }
        if (!isEventStream && isBrokenOffBeforeBody(request.message.method, status, headers, failureBody.size)) {
            onBrokenOff("ended-before-body")
            return
        }
        attempts.releaseCurrent()
        mayHaveRun = true
        when {
            !isEventStream -> {
                if (refuseFalsePromise(status)) return
                val content = failureBody.toByteArray()
                finish("answered", status)
                response.respond(status, context.protocol.responseHeaders(headers), content)
            }

            else -> {
                if (!endsWithConnection) evidence.recordAnswer(firstEventAt ?: now)
                startResponse()
                context.state.recordCompletion(request.service, request.metadata.model, attemptMilliseconds, now)
                context.waitingCalls.recordAnswer(request, attemptMilliseconds)
                finish(if (resumptions == 0) "answered" else "answered-resumed", status)
                response.finish()
            }
        }
    }

    /**
     * A stream that is resumed may have no events left, if the response itself says that it is complete; any other one
     * has at least one event.
     */
    private val isCutBeforeFirstEvent: Boolean
        get() = firstEventAt == null && (endsWithConnection || lastEventId == null)

    /** A response without a type is taken for what was requested. */
    private fun isEventStreamType(contentType: String?): Boolean =
        contentType == null || contentType.startsWith(EVENT_STREAM_TYPE, ignoreCase = true)

    override fun onAttemptFailed() {
        if (canRepeat()) {
            resumptions += 1
            startAttempt(lastEventId)
        } else {
            onNoTarget()
        }
    }

    override val isAwaitingFirstEvent: Boolean get() = !isResponseStarted && firstEventAt == null

    override val resumeFrom: Long? get() = lastEventId

    override fun onNoTarget() {
        if (!isResponseStarted) {
            if (mayHaveRun) {
                refuse(
                    RefusalReason.ANSWER_INCOMPLETE,
                    "the stream could not be begun",
                )
            } else {
                super.onNoTarget()
            }
            return
        }
        abort("stream-broken")
    }

    override fun onTimeout() {
        if (isResponseStarted) abort("stream-timed-out") else super.onTimeout()
    }

    private fun abort(outcome: String) {
        if (isEnded) return
        finish(outcome, status)
        response.abort()
    }

    private companion object {
        const val STATUS_OK = 200
        const val EVENT_STREAM_TYPE = "text/event-stream"

        /** Error responses are at most about a page of text. */
        const val MAX_FAILURE_BODY_BYTES = 1_048_576
    }
}
