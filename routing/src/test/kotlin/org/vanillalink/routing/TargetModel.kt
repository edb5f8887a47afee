/*
 * A model of targets on a scenario's virtual time: service times grow with concurrency, reports lag, and an attempt
 * beyond a target's units fails the check. It executes the router's decisions and checks them.
 */
package org.vanillalink.routing

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.WorkspaceId
import org.vanillalink.testing.Scenario
import java.time.Duration

internal class ModelledTarget(
    val host: HostId,
    val capacity: Int,
) {
    var boot = 1
    var units: Int? = null
    var leaving = false
    var serves = true
    val running = HashSet<AttemptKey>()
}

internal class TargetModel(
    private val scenario: Scenario,
    settings: RouterSettings = RouterSettings(),
) {
    val state = RouterState(settings)
    val targets = LinkedHashMap<HostId, ModelledTarget>()
    val finals = LinkedHashMap<RequestId, RouterDecision>()
    val arrivals = LinkedHashMap<RequestId, RouterEvent.RequestArrived>()
    val answeredInTime = LinkedHashMap<WorkspaceId, Int>()
    var attempts = 0
    var domainState = FailureDomainState.IN
    private val router = Router()
    private var requestCount = 0

    fun add(
        host: String,
        capacity: Int,
    ): ModelledTarget {
        val target = ModelledTarget(HostId(host), capacity)
        targets[target.host] = target
        publish(target)
        return target
    }

    /** Updates the router's candidate now; admission units and leaving reach the router without the lag of reports. */
    fun publish(target: ModelledTarget) = publish(target, load(target))

    private fun load(target: ModelledTarget) = ReportedLoad(target.running.size, 0, 1.0, scenario.now)

    private fun publish(
        target: ModelledTarget,
        load: ReportedLoad,
    ) {
        if (!target.serves) return feed(RouterEvent.CandidateRemoved(SERVICE, target.host))
        val boot = BootId("${target.boot}")
        val candidate =
            TargetCandidate(
                target.host,
                boot,
                SERVICE,
                LOCAL_DOMAIN,
                target.capacity,
                target.units,
                target.leaving,
                load = load,
            )
        feed(RouterEvent.CandidateUpdated(candidate))
    }

    /** Reports the current load of a target after [lag]. */
    private fun publishDelayed(
        target: ModelledTarget,
        lag: Duration,
    ) {
        val load = load(target)
        val boot = target.boot
        scenario.after(lag) { if (target.boot == boot) publish(target, load) }
    }

    fun setDomain(state: FailureDomainState) {
        domainState = state
        feed(RouterEvent.FailureDomainStateChanged(LOCAL_DOMAIN, state))
    }

    fun arrive(
        workspace: String,
        deadline: Duration,
        priority: Int = 0,
    ) {
        val event =
            RouterEvent.RequestArrived(
                RequestId("r${requestCount++}"),
                SERVICE,
                WorkspaceId(workspace),
                scenario.now.plus(deadline),
                priority,
                estimatedTokens = 100,
            )
        arrivals[event.request] = event
        feed(event)
    }

    fun tickEvery(period: Duration) = scenario.every(period) { feed(RouterEvent.Tick) }

    fun reportEvery(
        period: Duration,
        lag: Duration,
    ) = scenario.every(period) { targets.values.filter { it.serves }.forEach { publishDelayed(it, lag) } }

    /** Stops the target; its running attempts fail at once. */
    fun crash(target: ModelledTarget) {
        target.serves = false
        target.boot += 1
        val lostAttempts = target.running.toList()
        target.running.clear()
        publish(target)
        lostAttempts.forEach { feed(RouterEvent.AttemptFailed(it.request, it.attempt, mayHaveRun = true)) }
    }

    fun feed(event: RouterEvent) {
        router.handle(state, event, scenario.now).decisions.forEach { execute(it) }
    }

    private fun execute(decision: RouterDecision) {
        when (decision) {
            is RouterDecision.StartAttempt -> start(decision)

            is RouterDecision.AnswerRequest -> answer(decision)

            is RouterDecision.RefuseRequest -> recordFinal(decision.request, decision)

            is RouterDecision.CancelAttempt -> scenario.after(CANCEL_TIME) { endExecution(decision) }

            is RouterDecision.ForwardRequest,
            is RouterDecision.OverloadBegan,
            is RouterDecision.OverloadEnded,
            -> scenario.note(decision.toString())
        }
    }

    private fun start(decision: RouterDecision.StartAttempt) {
        attempts += 1
        val target = targets.getValue(decision.host)
        val key = AttemptKey(decision.request, decision.attempt)
        target.running.add(key)
        val limit = minOf(target.capacity, target.units ?: target.capacity)
        scenario.check(target.running.size <= limit) { "${target.running.size} on ${target.host}, bound $limit" }
        scenario.check(!target.leaving) { "attempt on leaving ${target.host}" }
        scenario.check(domainState == FailureDomainState.IN) { "attempt in a domain that is out" }
        val serviceTime = Duration.ofMillis(BASE_MILLISECONDS + GROWTH_MILLISECONDS * target.running.size)
        scenario.after(serviceTime) { finish(target, key, serviceTime) }
    }

    private fun finish(
        target: ModelledTarget,
        key: AttemptKey,
        serviceTime: Duration,
    ) {
        if (!target.running.remove(key)) return
        feed(RouterEvent.AttemptFinished(key.request, key.attempt, serviceTime))
    }

    private fun endExecution(decision: RouterDecision.CancelAttempt) {
        val key = AttemptKey(decision.request, decision.attempt)
        if (targets.values.none { it.running.remove(key) }) return
        feed(RouterEvent.AttemptExecutionEnded(key.request, key.attempt))
    }

    private fun answer(decision: RouterDecision.AnswerRequest) {
        recordFinal(decision.request, decision)
        val arrival = arrivals.getValue(decision.request)
        if (scenario.now <= arrival.deadline) answeredInTime.merge(arrival.workspace, 1, Int::plus)
    }

    private fun recordFinal(
        request: RequestId,
        decision: RouterDecision,
    ) {
        val previous = finals.put(request, decision)
        scenario.check(previous == null) { "second final decision $decision after $previous" }
    }

    /** Fails if a request whose deadline is more than [slack] ago has no final decision. */
    fun checkAllDecided(slack: Duration) {
        val undecided =
            arrivals.values.filter { it.request !in finals && it.deadline.plus(slack) < scenario.now }
        scenario.check(undecided.isEmpty()) { "no final decision: ${undecided.take(3)}" }
    }

    fun refused(): Int = finals.values.count { it is RouterDecision.RefuseRequest }

    private companion object {
        val CANCEL_TIME: Duration = Duration.ofMillis(20)
        const val BASE_MILLISECONDS = 800L
        const val GROWTH_MILLISECONDS = 25L
    }
}
