/*
 * Turns what happens to requests into events and metrics.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonDecision
import org.vanillalink.daemon.metrics.CallMetrics
import org.vanillalink.daemon.metrics.RequestResult
import org.vanillalink.daemon.timeline.EventLog
import org.vanillalink.daemon.traffic.attemptId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import java.time.Clock
import java.time.Duration
import java.time.Instant

/**
 * Called on the control thread, but for [refusedAtEntry] and [forwardedArrived]. What it keeps of a request goes with
 * the request's end, so that it is bounded by the requests in progress.
 */
class CallObserver(
    private val log: EventLog,
    private val metrics: CallMetrics,
    private val clock: Clock,
) {
    private data class SeenRequest(
        val service: ServiceName,
        val at: Instant,
        val forwarded: Boolean,
    )

    private val requests = HashMap<RequestId, SeenRequest>()

    /** A request arrived. */
    fun arrived(event: RouterEvent.RequestArrived) {
        requests[event.request] = SeenRequest(event.service, clock.instant(), event.forwarded)
        log.record(
            "request-arrived",
            "request" to event.request,
            "service" to event.service,
            "workspace" to event.workspace,
        )
    }

    /** Another daemon passed a request on as its attempt [forwardingAttempt]; here it is [request]. */
    fun forwardedArrived(
        request: RequestId,
        forwardingAttempt: String,
    ) = log.record("forwarded-request-arrived", "request" to request, "forwarding-attempt" to forwardingAttempt)

    /** An attempt started. */
    fun attemptStarted(decision: DaemonDecision.StartAttempt) {
        if (decision.attempt > 1) requests[decision.request]?.let { metrics.retried(it.service) }
        log.record(
            "attempt-started",
            "request" to decision.request,
            "attempt" to decision.attempt,
            "host" to decision.target.host,
            "group" to decision.target.group,
            "generation" to decision.target.generation,
        )
    }

    /** The request was passed to another failure domain. */
    fun forwarded(decision: RouterDecision.ForwardRequest) {
        requests[decision.request]?.let { metrics.forwarded(it.service) }
        log.record(
            "request-forwarded",
            "request" to decision.request,
            "attempt" to decision.attempt,
            "forwarding-attempt" to attemptId(decision.request, decision.attempt),
            "to" to decision.daemon,
        )
    }

    /** The request has its whole answer. */
    fun answered(request: RequestId) {
        val took = ended(request, RequestResult.ANSWERED) ?: return
        log.record("request-answered", "request" to request, "milliseconds" to took.toMillis())
    }

    /** The request was refused. */
    fun refused(
        request: RequestId,
        refusal: Refusal,
    ) {
        val seen = requests[request] ?: return
        ended(request, RequestResult.REFUSED)
        recordRefusal(request, seen.service, refusal, seen.forwarded)
    }

    /** The request was refused before it was handed to the control thread; from any thread. */
    fun refusedAtEntry(
        request: RequestId,
        refusal: Refusal,
        forwarded: Boolean,
    ) = recordRefusal(request, null, refusal, forwarded)

    /** The caller went away. */
    fun cancelled(request: RequestId) {
        val took = ended(request, RequestResult.CANCELLED) ?: return
        log.record("request-cancelled", "request" to request, "milliseconds" to took.toMillis())
    }

    private fun recordRefusal(
        request: RequestId,
        service: ServiceName?,
        refusal: Refusal,
        forwarded: Boolean,
    ) {
        // The caller of a forwarded request is refused, if at all, by the daemon that passed it on.
        if (!forwarded) metrics.refused(service, refusal, clock.instant())
        log.record(
            "request-refused",
            "request" to request,
            "service" to service,
            "reason" to refusal.reason.problemType,
            "outcome" to refusal.outcome.wireName,
            "retry-after-milliseconds" to refusal.retryAfter?.toMillis(),
        )
    }

    private fun ended(
        request: RequestId,
        result: RequestResult,
    ): Duration? {
        val seen = requests.remove(request) ?: return null
        val took = Duration.between(seen.at, clock.instant())
        if (seen.forwarded) metrics.forwardedEnded(seen.service, result) else metrics.ended(seen.service, result, took)
        return took
    }
}
