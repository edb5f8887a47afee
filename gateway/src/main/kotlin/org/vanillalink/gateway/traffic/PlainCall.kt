/*
 * A request whose answer is small: it is collected whole before any of it goes to the caller.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.AnswerMarks
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.catalog.CallKind
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ScheduledAction
import java.io.ByteArrayOutputStream
import java.time.Duration

internal class PlainCall(
    context: TrafficContext,
    request: AdmittedRequest,
    answer: ResponseWriter,
) : ProxiedCall(context, request, answer) {
    private val body = ByteArrayOutputStream()
    private var status = 0
    private var headers = HeaderFields()
    private var impatience: ScheduledAction? = null

    fun start() {
        begin()
        if (request.route.kind != CallKind.IDEMPOTENT || isEnded) return
        impatience = context.schedule(Duration.ofMillis(patience()), ::tryElsewhere)
    }

    override fun head(
        status: Int,
        headers: HeaderFields,
        marks: AnswerMarks,
    ) {
        this.status = status
        this.headers = headers
        body.reset()
    }

    override fun piece(bytes: ByteArray) {
        if (body.size() + bytes.size > ANSWER_BYTES) crossed("answer-too-large") else body.write(bytes)
    }

    override fun whole() {
        releaseTarget()
        mayHaveRun = true
        val failedOnTarget = status >= SERVER_ERROR
        if (failedOnTarget && mayRepeat()) {
            trail.append("!$status")
            keepAnswer()
            attempt(null)
            return
        }
        deliver(status, headers, body.toByteArray())
    }

    private var failureKept: (() -> Unit)? = null

    /** A target's own failure is still an answer if no other target gives a better one. */
    private fun keepAnswer() {
        val status = status
        val headers = headers
        val content = body.toByteArray()
        failureKept = { deliver(status, headers, content) }
    }

    private fun deliver(
        status: Int,
        headers: HeaderFields,
        content: ByteArray,
    ) {
        impatience?.cancel()
        finish("answered", status)
        answer.respond(status, context.protocol.answerFields(headers), content)
    }

    override fun attemptLost(reason: String) {
        mayHaveRun = true
        trail.append("!$reason")
        if (mayRepeat()) attempt(null) else noTarget()
    }

    override fun noTarget() {
        val kept = failureKept
        if (kept != null) {
            kept()
            return
        }
        impatience?.cancel()
        if (mayHaveRun) refuse(RefusalReason.OUTCOME_UNKNOWN, "the target gave no whole answer") else super.noTarget()
    }

    /** A repeatable request that waits far longer than usual gets another target while there is time. */
    private fun tryElsewhere() {
        if (isEnded || currentTarget == null) return
        if (now + patience() / 2 > request.answerBy || !mayRepeat()) return
        trail.append("!slow")
        mayHaveRun = true
        currentTarget?.let { context.state.avoid(it, now) }
        dropExchange()
        attempt(null)
    }

    private fun patience(): Long = maxOf(PATIENCE_AT_LEAST, request.route.latencyGoalMilliseconds * 2)

    private companion object {
        const val ANSWER_BYTES = 8_388_608
        const val SERVER_ERROR = 500

        /** Milliseconds; several times the work of a usual request. */
        const val PATIENCE_AT_LEAST = 200L
    }
}
