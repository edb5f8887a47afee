/*
 * What one attempt shows about whether its request crashes targets.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.serving.targets.TargetInstance

/** The evidence of an attempt that was sent at [startedAt], in milliseconds on the steady clock. */
internal class AttemptEvidence(
    private val context: CallContext,
    private val request: AdmittedRequest,
    val startedAt: Long,
) {
    private val detector get() = context.state.poisonDetector

    /** How many times bytes of the response were received: its head, then chunks of its body. */
    private var reads = 0

    /** Whether the target has begun to answer and did not crash by that. */
    var hasAnswered = false
        private set

    /** Whether any bytes of the response were received. */
    val hasResponseBegun: Boolean get() = reads > 0

    fun recordRead() {
        reads += 1
    }

    /** Records the head of a successful response of [target]. */
    fun recordSuccess(target: TargetInstance) = detector.recordSuccess(target, startedAt, context.now())

    /** Records that the answer began at [begunAt] and went on, so that the request did not crash its target. */
    fun recordAnswer(begunAt: Long) {
        if (hasAnswered) return
        hasAnswered = true
        detector.recordAnswer(request.signature, begunAt)
    }

    /** Records that the response of [target] ended with its connection. */
    fun recordLoss(target: TargetInstance) {
        val now = context.now()
        if (!hasAnswered) detector.recordLoss(target, request.signature, now)
        val knownLosses = detector.countLosses(request.signature.fingerprint)
        context.requestLogger.logTargetLost(request, target, reads, now - startedAt, knownLosses)
        if (!hasAnswered) detector.update(now)
    }
}
