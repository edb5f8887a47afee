/*
 * A request whose answer is a stream of events. Whole events are passed on as they come. When a group breaks, the
 * stream goes on at another one after the last event that the caller has, within the same answer.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.AnswerMarks
import org.vanillalink.model.RefusalReason
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseWriter
import java.io.ByteArrayOutputStream

internal class StreamCall(
    context: TrafficContext,
    request: AdmittedRequest,
    answer: ResponseWriter,
) : ProxiedCall(context, request, answer) {
    private var splitter = EventSplitter()
    private var status = 0
    private var headers = HeaderFields()
    private var isStarted = false
    private var lastId: Long? = request.marks.lastEventId
    private var isStream = false
    private val failureBody = ByteArrayOutputStream()
    private var resumes = 0
    override val pace = StreamPace(request.arrivedAt)

    override fun head(
        status: Int,
        headers: HeaderFields,
        marks: AnswerMarks,
    ) {
        splitter = EventSplitter()
        failureBody.reset()
        isStream = status == STATUS_OK
        if (!isStarted) {
            this.status = status
            this.headers = headers
        }
        if (!isStream && isStarted) crossed("failed-on-resume-$status")
    }

    override fun piece(bytes: ByteArray) {
        if (!isStream) {
            failurePiece(bytes)
            return
        }
        val events = splitter.add(bytes)
        if (splitter.isEndless) {
            crossed("event-without-end")
            return
        }
        if (events == null) return
        val expected = lastId?.plus(1)
        if (expected != null && events.firstId != null && events.firstId != expected) {
            crossed("event-${events.firstId}-after-${expected - 1}")
            return
        }
        lastId = events.lastId ?: lastId
        start()
        pace.passedOn(now)
        answer.write(events.bytes)
    }

    private fun failurePiece(bytes: ByteArray) {
        if (failureBody.size() + bytes.size > FAILURE_BYTES) {
            crossed("failure-too-large")
            return
        }
        failureBody.write(bytes)
    }

    private fun start() {
        if (isStarted) return
        isStarted = true
        answer.start(status, context.protocol.answerFields(headers))
    }

    override fun whole() {
        releaseTarget()
        mayHaveRun = true
        when {
            !isStream -> {
                finish("answered", status)
                answer.respond(status, context.protocol.answerFields(headers), failureBody.toByteArray())
            }

            splitter.isMidEvent -> {
                attemptLost("ended-mid-event")
            }

            else -> {
                start()
                request.marks.model?.let { context.state.demand.recordCompletion(it, attemptMilliseconds, now) }
                finish(if (resumes == 0) "answered" else "answered-resumed", status)
                answer.finish()
            }
        }
    }

    override fun attemptLost(reason: String) {
        mayHaveRun = true
        trail.append("!$reason")
        if (mayRepeat()) {
            resumes += 1
            attempt(lastId)
        } else {
            noTarget()
        }
    }

    override fun resumeFrom(): Long? = lastId

    override fun noTarget() {
        if (!isStarted) {
            if (mayHaveRun) {
                refuse(
                    RefusalReason.ANSWER_INCOMPLETE,
                    "the stream could not be begun",
                )
            } else {
                super.noTarget()
            }
            return
        }
        abort("stream-broken")
    }

    override fun timedOut() {
        if (isStarted) abort("stream-timed-out") else super.timedOut()
    }

    private fun abort(outcome: String) {
        if (isEnded) return
        finish(outcome, status)
        answer.abort()
    }

    private companion object {
        const val STATUS_OK = 200

        /** A failure's explanation is a page at the most. */
        const val FAILURE_BYTES = 1_048_576
    }
}
