/*
 * The small model that the measurements of routing run on: targets whose service times grow with concurrency, and
 * daemons that carry out a router's decisions on virtual time.
 *
 * It assumes that a request's speed is set by the concurrency at its start, that a cold target falls over as soon as
 * it has more than it bears, that it bears one more for each four requests it finished, that a cancelled attempt ends
 * within 20 ms, that reports lag 100 ms, and that a domain's only daemon has all admission units of its targets.
 */
package org.vanillalink.measure

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.RemoteCapacity
import org.vanillalink.routing.ReportedLoad
import org.vanillalink.routing.Router
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterSettings
import org.vanillalink.routing.RouterState
import org.vanillalink.routing.TargetCandidate
import org.vanillalink.testing.Scenario
import java.time.Duration
import java.time.Instant

internal val ROUTED_SERVICE = ServiceName("brief-writer")

/** What a caller asks and how it learns the outcome; [onEnd] gets null for a whole answer, else when to come back. */
internal class RoutingModelCall(
    val id: String,
    val workspace: String,
    val tokens: Int,
    val deadline: Instant,
    val onFirstToken: () -> Unit = {},
    val onEnd: (refusedUntil: RoutingModelRefusal?) -> Unit,
)

/** A refusal as the caller sees it. */
internal class RoutingModelRefusal(
    val outcome: RefusalOutcome,
    val retryAfter: Duration?,
)

/** A daemon with the router under measurement. */
internal class RoutingModelDaemon(
    private val scenario: Scenario,
    private val name: String,
    private val domain: FailureDomainId,
    private val targets: List<RoutingModelTarget>,
    settings: RouterSettings = RouterSettings(),
) {
    private val router = Router()
    private val state = RouterState(settings)
    private val calls = HashMap<RequestId, RoutingModelCall>()
    private val places = HashMap<String, RoutingModelTarget>()
    private var peers: List<RoutingModelDaemon> = emptyList()

    /** Attempts begun while this daemon had its own domain down as out. */
    var startsWhileOut = 0
        private set
    private var out = false

    /** A daemon gets no calls before it is ready, so it begins with its targets' reports. */
    fun start(peers: List<RoutingModelDaemon>) {
        this.peers = peers
        targets.forEach { publish(it, ReportedLoad(0, 0, 1.0, scenario.now)) }
        scenario.every(TICK) { feed(RouterEvent.Tick) }
        scenario.every(REPORT) { publish() }
        scenario.every(REMOTE_REPORT) { tellPeers() }
    }

    fun call(
        call: RoutingModelCall,
        forwarded: Boolean = false,
    ) {
        val request = RequestId(call.id)
        calls[request] = call
        feed(
            RouterEvent.RequestArrived(
                request,
                ROUTED_SERVICE,
                WorkspaceId(call.workspace),
                call.deadline,
                estimatedTokens = call.tokens,
                forwarded = forwarded,
            ),
        )
    }

    fun setDomain(
        failureDomain: FailureDomainId,
        domainState: FailureDomainState,
    ) {
        if (failureDomain == domain) out = domainState == FailureDomainState.OUT
        feed(RouterEvent.FailureDomainStateChanged(failureDomain, domainState))
    }

    private fun publish() {
        targets.filter { !it.serves }.forEach { feed(RouterEvent.CandidateRemoved(ROUTED_SERVICE, it.host)) }
        targets.filter { it.serves }.forEach { target ->
            val load = ReportedLoad(target.load, 0, 1.0, scenario.now)
            val boot = target.boot
            scenario.after(REPORT_LAG) { if (target.serves && target.boot == boot) publish(target, load) }
        }
    }

    private fun publish(
        target: RoutingModelTarget,
        load: ReportedLoad,
    ) {
        val boot = BootId("${target.boot}")
        val candidate =
            TargetCandidate(target.host, boot, ROUTED_SERVICE, domain, target.slots, target.bears, load = load)
        feed(RouterEvent.CandidateUpdated(candidate))
    }

    private fun tellPeers() {
        val capacity =
            RemoteCapacity(
                DaemonId(name),
                domain,
                ROUTED_SERVICE,
                targets.count { it.serves },
                state.freeRequests(ROUTED_SERVICE),
                state.queueLength(ROUTED_SERVICE),
                scenario.now,
            )
        val event = RouterEvent.RemoteCapacityReported(capacity)
        peers.forEach { peer -> scenario.after(REPORT_LAG) { peer.feed(event) } }
    }

    private fun feed(event: RouterEvent) {
        router.handle(state, event, scenario.now).decisions.forEach { carryOut(it) }
    }

    private fun carryOut(decision: RouterDecision) {
        when (decision) {
            is RouterDecision.StartAttempt -> begin(decision)
            is RouterDecision.ForwardRequest -> forward(decision)
            is RouterDecision.CancelAttempt -> cancel(decision)
            is RouterDecision.AnswerRequest -> calls.remove(decision.request)?.onEnd?.invoke(null)
            is RouterDecision.RefuseRequest -> refuse(decision)
            is RouterDecision.OverloadBegan -> Unit
            is RouterDecision.OverloadEnded -> Unit
        }
    }

    private fun refuse(decision: RouterDecision.RefuseRequest) {
        val refusal = RoutingModelRefusal(decision.refusal.outcome, decision.refusal.retryAfter)
        calls.remove(decision.request)?.onEnd?.invoke(refusal)
    }

    private fun begin(decision: RouterDecision.StartAttempt) {
        if (out) startsWhileOut += 1
        val call = calls.getValue(decision.request)
        val target = targets.first { it.host == decision.host }
        val key = "${decision.request}/${decision.attempt}"
        places[key] = target
        val onEnd = { succeeded: Boolean, time: Duration -> ended(decision, key, succeeded, time) }
        // A target calls back while it changes itself, so its news are fed in a step of their own.
        val work = RoutingModelWork(key, call.tokens, call.onFirstToken) { ok, time -> later { onEnd(ok, time) } }
        target.submit(work)
    }

    private fun ended(
        decision: RouterDecision.StartAttempt,
        key: String,
        succeeded: Boolean,
        time: Duration,
    ) {
        places.remove(key)
        if (succeeded) {
            feed(RouterEvent.AttemptFinished(decision.request, decision.attempt, time))
        } else {
            feed(RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = true))
        }
    }

    private fun forward(decision: RouterDecision.ForwardRequest) {
        val call = calls.getValue(decision.request)
        val peer = peers.first { it.name == decision.daemon.value }
        val sentAt = scenario.now
        val onEnd = { refusal: RoutingModelRefusal? ->
            scenario.after(HOP) { forwardingEnded(decision, refusal, Duration.between(sentAt, scenario.now)) }
        }
        val id = "${call.id}/${decision.attempt}"
        val passed = RoutingModelCall(id, call.workspace, call.tokens, call.deadline, call.onFirstToken, onEnd)
        scenario.after(HOP) { peer.call(passed, forwarded = true) }
    }

    private fun forwardingEnded(
        decision: RouterDecision.ForwardRequest,
        refusal: RoutingModelRefusal?,
        time: Duration,
    ) {
        if (refusal == null) return feed(RouterEvent.AttemptFinished(decision.request, decision.attempt, time))
        val mayHaveRun = refusal.outcome == RefusalOutcome.UNKNOWN
        feed(RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun))
    }

    private fun cancel(decision: RouterDecision.CancelAttempt) {
        scenario.after(CANCEL) {
            val key = "${decision.request}/${decision.attempt}"
            places.remove(key)?.cancel(key)
            feed(RouterEvent.AttemptExecutionEnded(decision.request, decision.attempt))
        }
    }

    private fun later(action: () -> Unit) = scenario.after(Duration.ZERO, action)

    private companion object {
        val TICK: Duration = Duration.ofMillis(100)
        val REPORT: Duration = Duration.ofMillis(250)
        val REPORT_LAG: Duration = Duration.ofMillis(100)
        val REMOTE_REPORT: Duration = Duration.ofMillis(500)
        val HOP: Duration = Duration.ofMillis(1)
        val CANCEL: Duration = Duration.ofMillis(20)
    }
}
