/*
 * Handling of finished, failed and cancelled attempts: answers, retries and refusals, and the release of slots.
 */
package org.vanillalink.routing

import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId

/** Applies the outcomes of attempts. */
internal class AttemptOutcomes(
    private val state: RouterState,
    private val step: RoutingStep,
) {
    fun finish(event: RouterEvent.AttemptFinished) {
        val record = releaseSlot(AttemptKey(event.request, event.attempt)) ?: return
        record.service.serviceTimes.recordAttempt(record.tokens, event.serviceTime)
        val request = state.requests[event.request]
        if (request?.currentAttempt === record) {
            state.requests.remove(request.id)
            record.targetEntry?.cachedPrefixes?.learnFromAnswer(request.arrival.prefixFingerprints, step.now)
            step.decisions.add(RouterDecision.AnswerRequest(request.id, record.number))
        }
        step.drainQueue(record.service)
    }

    fun fail(event: RouterEvent.AttemptFailed) {
        val key = AttemptKey(event.request, event.attempt)
        val record = (if (event.executionEnded) releaseSlot(key) else state.attempts[key]) ?: return
        val request = state.requests[event.request]
        if (request?.currentAttempt === record) resolveFailure(event, record, request)
        step.drainQueue(record.service)
    }

    private fun resolveFailure(
        event: RouterEvent.AttemptFailed,
        record: AttemptRecord,
        request: RoutedRequest,
    ) {
        request.currentAttempt = null
        request.mayHaveRun = request.mayHaveRun || event.mayHaveRun
        record.targetEntry?.let { request.failedHosts.add(it.candidate.host) }
        if (!event.mayHaveRun) record.targetEntry?.markUnreachable(step.now)
        val isRejectedRemotely = record.remoteEntry != null && !event.mayHaveRun
        if (isRejectedRemotely) record.remoteEntry?.recordRefusal()
        val mayRetry = isRejectedRemotely || (canRepeat(event, request) && record.service.retryBudget.spend())
        if (mayRetry) return step.retry(record.service, request)
        step.refuse(record.service, request, RefusalReason.TARGET_FAILED)
    }

    private fun canRepeat(
        event: RouterEvent.AttemptFailed,
        request: RoutedRequest,
    ): Boolean {
        if (event.tokensDelivered && !event.resumable) return false
        return request.arrival.repeatable || !request.mayHaveRun
    }

    fun endExecution(event: RouterEvent.AttemptExecutionEnded) {
        val key = AttemptKey(event.request, event.attempt)
        val record = state.attempts[key] ?: return
        if (state.requests[event.request]?.currentAttempt === record) return
        releaseSlot(key)
        step.drainQueue(record.service)
    }

    fun cancelRequest(id: RequestId) {
        val request = state.requests.remove(id) ?: return
        val currentAttempt = request.currentAttempt
        if (currentAttempt == null) {
            state.service(request.arrival.service).queue.remove(request)
        } else {
            step.decisions.add(RouterDecision.CancelAttempt(id, currentAttempt.number))
        }
    }

    private fun releaseSlot(key: AttemptKey): AttemptRecord? {
        val record = state.attempts.remove(key) ?: return null
        record.targetEntry?.recordEnd(key, step.now)
        if (record.remoteEntry != null) record.service.forwardedCount -= 1
        return record
    }
}
