/*
 * A call with a small response, which is buffered completely before any of it is passed to the caller.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.ports.ResponseMetadata
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.catalog.CallKind
import org.vanillalink.transport.BodyOverflow
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HeldBody
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ScheduledAction
import java.time.Duration

internal class BufferedCall(
    context: CallContext,
    request: AdmittedRequest,
    response: ResponseWriter,
) : ProxiedCall(context, request, response) {
    /** The error response of a target, for the case that no other one returns a better one. */
    private class Fallback(
        val status: Int,
        val headers: HeaderFields,
        val body: HeldBody,
    )

    private var body = newBody()
    private var fallback: Fallback? = null
    private var status = 0
    private var headers = HeaderFields()
    private var slowResponseTimer: ScheduledAction? = null

    fun start() {
        startFirstAttempt()
        if (request.route.kind != CallKind.IDEMPOTENT || isEnded) return
        slowResponseTimer = context.schedule(Duration.ofMillis(slowResponseMilliseconds()), ::hedgeSlowAttempt)
    }

    override fun onAcceptedHead(
        status: Int,
        headers: HeaderFields,
        metadata: ResponseMetadata,
    ) {
        this.status = status
        this.headers = headers
        body.release()
        body = newBody()
        val announcedBytes = headers["content-length"]?.toLongOrNull() ?: 0
        if (announcedBytes > MAX_RESPONSE_BYTES && request.message.method != HEAD_METHOD) {
            failAttempt("answer-too-large", isTargetFaulty = true)
        }
    }

    private fun newBody() = HeldBody(context.memory, MAX_RESPONSE_BYTES, ::onRevoked)

    override fun onBodyChunk(bytes: ByteArray) {
        when (body.append(bytes)) {
            null -> return
            BodyOverflow.TOO_LARGE -> failAttempt("answer-too-large", isTargetFaulty = true)
            BodyOverflow.MEMORY_LIMIT -> failAttempt("memory-limit", isTargetFaulty = true)
        }
    }

    private fun onRevoked(revoked: HeldBody) {
        if (revoked === fallback?.body) fallback = null else failAttempt("memory-limit", isTargetFaulty = true)
    }

    override fun releaseResponse() {
        body.release()
        if (!isEnded) return
        fallback?.body?.release()
        fallback = null
    }

    override fun onComplete() {
        if (isBrokenOffBeforeBody(request.message.method, status, headers, body.size)) {
            onBrokenOff("ended-before-body")
            return
        }
        context.state.recordCompletion(request.service, request.metadata.model, attemptMilliseconds, now)
        context.waitingCalls.recordAnswer(request, attemptMilliseconds)
        context.waitingCalls.recordFirstAnswer(request, attemptMilliseconds)
        attempts.releaseCurrent()
        mayHaveRun = true
        if (status < FIRST_SERVER_ERROR_STATUS) evidence.recordAnswer(now)
        val hasTargetFailed = status >= FIRST_SERVER_ERROR_STATUS
        if (hasTargetFailed && attempts.promoteHedge()) {
            trail.append("!$status")
            keepAsFallback()
            return
        }
        if (hasTargetFailed && canRepeat()) {
            trail.append("!$status")
            keepAsFallback()
            startAttempt(null)
            return
        }
        deliver(status, headers, body)
    }

    private fun keepAsFallback() {
        fallback?.body?.release()
        fallback = Fallback(status, headers, body)
        body = newBody()
    }

    private fun deliver(
        status: Int,
        headers: HeaderFields,
        body: HeldBody,
    ) {
        slowResponseTimer?.cancel()
        if (refuseFalsePromise(status)) return
        val content = body.toByteArray()
        finish("answered", status)
        response.respond(status, context.protocol.responseHeaders(headers), content)
    }

    override fun onAttemptFailed() {
        if (canRepeat()) startAttempt(null) else onNoTarget()
    }

    override fun onNoTarget() {
        val fallback = fallback
        if (fallback != null) {
            deliver(fallback.status, fallback.headers, fallback.body)
            return
        }
        slowResponseTimer?.cancel()
        if (mayHaveRun) refuse(RefusalReason.OUTCOME_UNKNOWN, "the target gave no whole answer") else super.onNoTarget()
    }

    /** Sends a repeatable request that waits far longer than usual to a second target while there is time. */
    private fun hedgeSlowAttempt() {
        if (isEnded || currentTarget == null) return
        if (now + slowResponseMilliseconds() / 2 > request.responseDeadline) return
        hedge("slow")
    }

    private fun slowResponseMilliseconds(): Long =
        maxOf(MIN_SLOW_RESPONSE_MILLISECONDS, request.route.latencyGoalMilliseconds * 2)

    private companion object {
        const val MAX_RESPONSE_BYTES = 8_388_608
        const val FIRST_SERVER_ERROR_STATUS = 500

        /** Several times the execution time of a typical request. */
        const val MIN_SLOW_RESPONSE_MILLISECONDS = 200L
    }
}
