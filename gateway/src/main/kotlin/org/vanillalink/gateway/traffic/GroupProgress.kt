/*
 * Which groups stand still, and when a first event is due, by the streams of this daemon and by what peers report.
 * Confined to the traffic thread. Nothing is known of groups whose engine publishes no times.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.AwaitedFirstEvent
import org.vanillalink.serving.balancing.EngineTimes
import org.vanillalink.serving.balancing.FirstEventPrediction
import org.vanillalink.serving.balancing.FirstEventPredictor
import org.vanillalink.serving.balancing.GroupSign
import org.vanillalink.serving.balancing.InFlightCounts
import org.vanillalink.serving.balancing.ObservedSilence
import org.vanillalink.serving.balancing.ReachabilityMonitor
import org.vanillalink.serving.balancing.SecondAttempts
import org.vanillalink.serving.balancing.StallDetector
import org.vanillalink.serving.balancing.StandingGroups
import org.vanillalink.serving.balancing.TrialSchedule
import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

/** What was expected of an attempt when it was sent to a group of [model]. */
internal data class AttemptForecast(
    val model: String,
    val prediction: FirstEventPrediction,
    /** Whether the group stood, or its failure domain was unreachable. */
    val isTrial: Boolean,
)

/** Times are milliseconds on the steady clock. */
internal class GroupProgress(
    trialSchedule: TrialSchedule,
    private val reachabilityMonitor: ReachabilityMonitor,
    private val stallDetector: StallDetector,
    private val inFlight: InFlightCounts,
    private val view: () -> TrafficView,
) {
    private class SentGroup(
        val key: GroupKey,
        val model: String,
        val times: EngineTimes,
    )

    val standing = StandingGroups(trialSchedule)
    private val predictor = FirstEventPredictor()
    private val sentGroups = HashMap<HostId, SentGroup>()

    /** Records that [request] is sent to [chosen]; returns what is expected, or null where nothing is known. */
    fun recordSent(
        request: AdmittedRequest,
        chosen: ChosenTarget,
        isUnreachable: Boolean,
        now: Long,
    ): AttemptForecast? {
        val group = chosen.group ?: return null
        val times = request.service.engine?.let { EngineTimes.of(it, group.model) } ?: return null
        sentGroups[chosen.entry.id] = SentGroup(group.key, group.model, times)
        val isTrial = standing.recordSent(group.key, now, view().budgetDaemons)
        val prediction = predictor.predict(group.model, times, chosen.inFlight, request.work.promptTokens)
        return AttemptForecast(group.model, prediction, isTrial || isUnreachable)
    }

    /**
     * How many requests each group of [model] may have, so that first events come within [milliseconds]; null where
     * [engine] publishes no times.
     */
    fun maxRequests(
        engine: EngineDefinition,
        model: String,
        milliseconds: Long,
    ): Int? = EngineTimes.of(engine, model)?.let { predictor.maxRequests(model, it, engine.slots, milliseconds) }

    /** Whether a request should be sent to [target] as a trial, though it stands or can't be reached. */
    fun isTrialDue(
        target: TargetEntry,
        unreachableDomains: Set<FailureDomainId>,
        isHedgeable: Boolean,
        now: Long,
    ): Boolean {
        if (target.failureDomain in unreachableDomains) {
            return reachabilityMonitor.isTrialDue(target.failureDomain, isHedgeable, now)
        }
        return view().groupAt(target.id)?.let { standing.isTrialDue(it.key, isHedgeable, now) } == true
    }

    /** Whether [attempt]'s group is followed, so that it needs no avoidance for a fixed time when it is silent. */
    fun isFollowed(attempt: Attempt): Boolean = attempt.forecast != null

    /** Records bytes of the response to [attempt]. */
    fun recordProgress(
        attempt: Attempt,
        now: Long,
    ) {
        if (attempt.forecast != null) attempt.group?.let { standing.recordProgress(it, now) }
    }

    /** Records the first event of the response to [attempt]. */
    fun recordFirstEvent(
        attempt: Attempt,
        now: Long,
    ) {
        val forecast = attempt.forecast ?: return
        predictor.record(forecast.model, forecast.prediction, now - attempt.evidence.startedAt)
    }

    /** Looks for groups whose streams are silent. */
    fun detectStanding(now: Long) {
        val daemonCount = view().budgetDaemons
        stallDetector.targetsWithRequests().forEach { target ->
            val sent = sentGroups[target] ?: return@forEach
            val silence = stallDetector.silence(target, now) ?: return@forEach
            val limit = silenceLimit(sent, target, silence.hasStartedAnswer, now)
            val observed = ObservedSilence(silence.milliseconds, limit, silence.hasStartedAnswer)
            standing.recordSilence(sent.key, observed, now, daemonCount)
        }
    }

    private fun silenceLimit(
        sent: SentGroup,
        target: HostId,
        hasStartedAnswer: Boolean,
        now: Long,
    ): Long {
        val requests = inFlight.total(target, now)
        if (hasStartedAnswer) return StandingGroups.passLimit(sent.times, requests)
        return StandingGroups.firstEventLimit(predictor.predict(sent.model, sent.times, requests, 0))
    }

    /** Why the request of [attempt] needs a second attempt, with [timeToGoal] left; null if it doesn't. */
    fun findSecondAttemptReason(
        attempt: Attempt,
        timeToGoal: Long,
        now: Long,
    ): String? {
        val forecast = attempt.forecast ?: return null
        val waited = now - attempt.evidence.startedAt
        val silence = stallDetector.silence(attempt.target.id, now)
        val sign =
            when {
                forecast.isTrial -> GroupSign.ON_TRIAL
                attempt.group?.let(standing::isStanding) == true -> GroupSign.STANDS
                silence != null && silence.milliseconds < waited -> GroupSign.MOVES
                else -> GroupSign.NONE
            }
        return SecondAttempts.findReason(AwaitedFirstEvent(waited, timeToGoal, forecast.prediction, sign))
    }

    /** Applies what a peer reports: one in [ownDomain], or the controller of a group in another failure domain. */
    fun recordReports(
        message: PeerMessage,
        ownDomain: FailureDomainId,
        now: Long,
    ) {
        if (message.progress.isEmpty()) return
        val isNear = message.failureDomain == ownDomain
        val controlled = message.controlled.mapTo(HashSet()) { it.failureDomain }
        val currentView = view()
        val domains = currentView.groups.associate { it.key to it.head.failureDomain }
        message.progress
            .filter { domains[it.group]?.let { domain -> isNear || domain in controlled } == true }
            .forEach { standing.recordReport(it, isNear, now, currentView.budgetDaemons) }
    }

    /** Opens the groups in [failureDomains], which are reachable again. */
    fun onReachable(
        failureDomains: Set<FailureDomainId>,
        now: Long,
    ) = standing.open(view().groups.filter { it.head.failureDomain in failureDomains }.map { it.key }, now)

    /** Removes the state of groups that no longer exist and have no requests. */
    fun removeExpired() {
        sentGroups.keys.retainAll(stallDetector.targetsWithRequests())
        val announced = view().groups.mapTo(HashSet()) { it.key }
        standing.retainGroups(announced + sentGroups.values.map { it.key })
    }
}
