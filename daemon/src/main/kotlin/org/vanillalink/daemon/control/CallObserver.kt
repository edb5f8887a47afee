/*
 * Turns what happens to requests into events and metrics.
 */
package org.vanillalink.daemon.control

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import org.vanillalink.control.DaemonDecision
import org.vanillalink.daemon.timeline.EventLog
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import java.time.Clock
import java.time.Duration
import java.time.Instant

/** Called on the control thread. */
class CallObserver(
    private val log: EventLog,
    private val metrics: MeterRegistry,
    private val clock: Clock,
) {
    private data class SeenRequest(
        val service: ServiceName,
        val at: Instant,
    )

    private val requests = HashMap<RequestId, SeenRequest>()

    /** A request arrived. */
    fun arrived(event: RouterEvent.RequestArrived) {
        requests[event.request] = SeenRequest(event.service, clock.instant())
        log.record(
            "request-arrived",
            "request" to event.request,
            "service" to event.service,
            "workspace" to event.workspace,
        )
    }

    /** An attempt started. */
    fun attemptStarted(decision: DaemonDecision.StartAttempt) = log.record(
        "attempt-started",
        "request" to decision.request,
        "attempt" to decision.attempt,
        "host" to decision.target.host,
        "group" to decision.target.group,
        "generation" to decision.target.generation,
    )

    /** The request was passed to another failure domain. */
    fun forwarded(decision: RouterDecision.ForwardRequest) = log.record(
        "request-forwarded",
        "request" to decision.request,
        "attempt" to decision.attempt,
        "to" to decision.daemon,
    )

    /** The request has its whole answer. */
    fun answered(request: RequestId) {
        val seen = requests.remove(request) ?: return
        val took = Duration.between(seen.at, clock.instant())
        count(seen.service, "answered")
        log.record("request-answered", "request" to request, "milliseconds" to took.toMillis())
    }

    /** The request was refused. */
    fun refused(
        request: RequestId,
        refusal: Refusal,
    ) {
        val seen = requests.remove(request) ?: return
        count(seen.service, refusal.reason.problemType)
        log.record(
            "request-refused",
            "request" to request,
            "reason" to refusal.reason.problemType,
            "outcome" to refusal.outcome.wireName,
            "retry-after-milliseconds" to refusal.retryAfter?.toMillis(),
        )
    }

    /** The caller went away. */
    fun cancelled(request: RequestId) {
        val seen = requests.remove(request) ?: return
        count(seen.service, "cancelled")
        log.record("request-cancelled", "request" to request)
    }

    private fun count(
        service: ServiceName,
        result: String,
    ) = metrics
        .counter("vanillalink.requests", listOf(Tag.of("service", service.value), Tag.of("result", result)))
        .increment()
}
