/*
 * What follows from the end of an attempt: an answer, a retry or a refusal, and a slot that is free again.
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
        val record = release(AttemptKey(event.request, event.attempt)) ?: return
        record.service.pace.learn(record.tokens, event.serviceTime)
        val request = state.requests[event.request]
        if (request?.current === record) {
            state.requests.remove(request.id)
            record.candidate?.prefixes?.answered(request.arrival.prefixFingerprints, step.now)
            step.decisions.add(RouterDecision.AnswerRequest(request.id, record.number))
        }
        step.drain(record.service)
    }

    fun fail(event: RouterEvent.AttemptFailed) {
        val key = AttemptKey(event.request, event.attempt)
        val record = (if (event.workEnded) release(key) else state.attempts[key]) ?: return
        val request = state.requests[event.request]
        if (request?.current === record) settle(event, record, request)
        step.drain(record.service)
    }

    private fun settle(
        event: RouterEvent.AttemptFailed,
        record: AttemptRecord,
        request: RoutedRequest,
    ) {
        request.current = null
        request.mayHaveRun = request.mayHaveRun || event.mayHaveRun
        record.candidate?.let { request.failedHosts.add(it.candidate.host) }
        if (!event.mayHaveRun) record.candidate?.unreached(step.now)
        val turnedAway = record.remote != null && !event.mayHaveRun
        if (turnedAway) record.remote?.refused()
        val mayRetry = turnedAway || (canRepeat(event, request) && record.service.budget.spend())
        if (mayRetry) return step.retry(record.service, request)
        step.refuse(record.service, request, RefusalReason.TARGET_FAILED)
    }

    private fun canRepeat(
        event: RouterEvent.AttemptFailed,
        request: RoutedRequest,
    ): Boolean {
        if (event.tokensGiven && !event.resumable) return false
        return request.arrival.repeatable || !request.mayHaveRun
    }

    fun workEnded(event: RouterEvent.AttemptWorkEnded) {
        val key = AttemptKey(event.request, event.attempt)
        val record = state.attempts[key] ?: return
        if (state.requests[event.request]?.current === record) return
        release(key)
        step.drain(record.service)
    }

    fun cancelRequest(id: RequestId) {
        val request = state.requests.remove(id) ?: return
        val current = request.current
        if (current == null) {
            state.service(request.arrival.service).queue.remove(request)
        } else {
            step.decisions.add(RouterDecision.CancelAttempt(id, current.number))
        }
    }

    private fun release(key: AttemptKey): AttemptRecord? {
        val record = state.attempts.remove(key) ?: return null
        record.candidate?.ended(key, step.now)
        if (record.remote != null) record.service.forwarded -= 1
        return record
    }
}
