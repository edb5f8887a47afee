/*
 * The exchange between the control thread and the traffic thread: the one publishes views, the other publishes counts.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.control.TrafficSummary
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.LoopDelayMonitor
import org.vanillalink.gateway.peers.PoisonEvidence
import org.vanillalink.gateway.ports.GatewayLimits
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.LimitEvent
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.balancing.ReportedLoss
import org.vanillalink.serving.balancing.ReportedProgress
import org.vanillalink.serving.balancing.StandingChange
import org.vanillalink.serving.peers.HeartbeatSchedule
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.transport.NettyEventLoops
import java.time.Duration
import kotlin.random.Random

/** Holds the state of the traffic thread, and copies of it that other threads read. */
internal class TrafficMonitor(
    limits: GatewayLimits,
    private val eventLoops: NettyEventLoops,
    random: Random,
    private val now: () -> Long,
    private val loopDelayMonitor: LoopDelayMonitor,
    private val eventLogger: EventLogger,
    private val failureDomain: FailureDomainId,
) : TrafficSummary,
    PoisonEvidence {
    val state = TrafficState(limits, random)
    val activeCalls = ActiveCalls()
    val waitingCalls = WaitingCalls(state, random, now, eventLoops::schedule)

    @Volatile
    private var inFlightCounts: Map<HostId, Int> = emptyMap()

    @Volatile
    private var demand: Map<String, Double> = emptyMap()

    @Volatile
    private var stalledGroups: Set<GroupKey> = emptySet()

    /** For peers in this daemon's failure domain, and for others. */
    @Volatile
    private var progressReports: Pair<List<ReportedProgress>, List<ReportedProgress>> =
        emptyList<ReportedProgress>() to emptyList()

    @Volatile
    override var progressVersion = 0L
        private set

    /** How many groups stand as far as this daemon knows. */
    @Volatile
    var standingGroups = 0
        private set

    @Volatile
    private var poisonReport = PoisonReport()

    @Volatile
    private var openLosses: List<ReportedLoss> = emptyList()
    private var openLossesAt = 0L

    /** Changes with the evidence in [poisonReport]. */
    @Volatile
    var poisonVersion = 0L
        private set

    @Volatile
    private var leavingTargets: Set<TargetInstance> = emptySet()

    @Volatile
    private var limits: List<ReportedLimit> = emptyList()

    @Volatile
    override var limitsVersion = 0L
        private set

    @Volatile
    private var hasTraffic = false
    private var lastCleanupAt = 0L

    @Volatile
    override var lastRanAt = now()
        private set

    init {
        eventLoops.schedule(CHECK_INTERVAL, ::check)
    }

    override fun recentDelay(): Long =
        maxOf(loopDelayMonitor.recentMaxMilliseconds, now() - lastRanAt - CHECK_INTERVAL.toMillis())

    override fun inFlight(): Map<HostId, Int> = inFlightCounts

    override fun demand(): Map<String, Double> = demand

    override fun suspects(): Set<GroupKey> = stalledGroups

    override fun progress(includesHeard: Boolean): List<ReportedProgress> =
        if (includesHeard) progressReports.second else progressReports.first

    override fun leavingTargets(): Set<TargetInstance> = leavingTargets

    override fun limits(): List<ReportedLimit> = limits

    override fun hasTraffic(): Boolean = hasTraffic

    /** The evidence about poison requests for peers. */
    fun poisonReport(): PoisonReport = poisonReport

    override fun current(): PoisonReport = PoisonReport(losses = openLosses, blocks = poisonReport.blocks)

    override fun adopt(report: PoisonReport) = eventLoops.execute { state.poisonDetector.recordReport(report, now()) }

    /** A peer's process has started and doesn't know what was observed before. */
    fun onPeerStarted() = eventLoops.execute { state.poisonDetector.recordPeerStart(now()) }

    /** Records that a request was received. */
    fun recordRequestArrival() {
        hasTraffic = true
    }

    override fun publish(view: TrafficView) {
        val previousView = state.view
        state.view = view
        val newlyBrokenGroups = view.broken - previousView.broken
        if (newlyBrokenGroups.isNotEmpty()) eventLoops.execute { activeCalls.failOverFromGroups(newlyBrokenGroups) }
    }

    /** Applies a peer's requests in progress and its evidence about poison requests. */
    fun onPeerMessage(message: PeerMessage) = eventLoops.execute {
        val time = now()
        state.inFlight.recordPeerCounts(
            message.daemon,
            message.inFlight,
            time,
            HeartbeatSchedule.livenessTimeout(message.period),
        )
        state.reachabilityMonitor.recordDaemonMessage(message.failureDomain, time)
        state.groupProgress.recordReports(message, failureDomain, time)
        state.poisonDetector.recordReport(message.poison, time)
        state.limitedTargets.limits.recordReport(message.limits, time)
        waitingCalls.requestDispatch()
    }

    private fun check() {
        val time = now()
        loopDelayMonitor.recordStart(lastRanAt + CHECK_INTERVAL.toMillis(), time)
        val isLate = time - lastRanAt > MAX_INTERVAL_MILLISECONDS
        if (time - lastRanAt > PROCESS_PAUSE_MILLISECONDS) state.stallDetector.resetAfterPause(time)
        lastRanAt = time
        val stalledTargets = state.detectStalls(time)
        updateProgress(isLate, time)
        stalledGroups = activeCalls.groupsWithCallsAt(stalledTargets.keys)
        // A call that found no other target before may find one now.
        activeCalls.failOverFromGroups(state.view.broken)
        activeCalls.hedgeAtTargets(state.unreachableTargets(), "path-cut")
        activeCalls.hedgeAtSuspectedGroups(stalledTargets.keys, state.view.groups.mapTo(HashSet()) { it.key })
        activeCalls.hedgeAtTargets(
            stalledTargets.filterValues { it > STALL_LIMIT_MILLISECONDS }.keys,
            "group-stalled",
        )
        waitingCalls.update()
        inFlightCounts = state.inFlight.localCounts()
        demand = state.demand.slotDemand(time)
        updatePoisonBlocks(time)
        updateLimits(time)
        leavingTargets = state.leavingSince(time - REPORT_WINDOW_MILLISECONDS)
        if (time - lastCleanupAt > CLEANUP_INTERVAL_MILLISECONDS) {
            lastCleanupAt = time
            state.removeExpired(time)
        }
        eventLoops.schedule(CHECK_INTERVAL, ::check)
    }

    /** A thread that [isLate] has not read the bytes that came meanwhile. */
    private fun updateProgress(
        isLate: Boolean,
        time: Long,
    ) {
        val standing = state.groupProgress.standing
        if (!isLate) {
            state.groupProgress.detectStanding(time)
            activeCalls.hedgeLateCalls()
        }
        standing.takeChanges().forEach(::logStanding)
        standingGroups = standing.count
        progressReports = standing.report(false, time) to standing.report(true, time)
        progressVersion = standing.version
    }

    private fun logStanding(change: StandingChange) = eventLogger.record(
        if (change.standingMilliseconds == null) "group-standing" else "group-moving",
        "group" to change.group.group,
        "source" to if (change.isReportedByPeer) "peer" else "streams",
        "afterMs" to change.standingMilliseconds,
        "trials" to change.trials.takeIf { change.standingMilliseconds != null },
    )

    private fun updateLimits(time: Long) {
        state.limitedTargets.updateUsage(time)
        state.limitedTargets.limits.takeEvents().forEach { event ->
            when (event) {
                is LimitEvent.Changed -> {
                    logLimit(event, time)
                }

                is LimitEvent.Unreadable -> {
                    eventLogger.record(
                        "target-limit-unreadable",
                        "target" to event.target.id,
                        "expected" to "requests per second as a decimal number",
                        "limit" to event.text,
                    )
                }
            }
        }
        limits = state.limitedTargets.limits.report(time)
        limitsVersion = state.limitedTargets.limits.version
    }

    private fun logLimit(
        change: LimitEvent.Changed,
        time: Long,
    ) {
        val share = change.requestsPerSecond?.let { state.limitedTargets.share(change.target) }
        val usage = state.limitedTargets.usage
        eventLogger.record(
            if (change.requestsPerSecond == null) "target-limit-ended" else "target-limited",
            "target" to change.target.id,
            "bornAt" to change.target.bornAt,
            "limit" to change.requestsPerSecond,
            "before" to change.previousRequestsPerSecond,
            "source" to if (change.isReportedByPeer) "peer" else "response",
            "sinceMs" to time - change.limitedSince,
            "share" to share?.requestsPerSecond?.let(::roundForLog),
            "holders" to share?.holders,
            "daemons" to state.view.daemonDemand.daemons.size,
            "allowed" to roundForLog(usage.allowed),
            "sent" to usage.sent,
        )
    }

    private fun updatePoisonBlocks(time: Long) {
        state.poisonDetector.daemons = state.view.budgetDaemons
        state.poisonDetector.update(time)
        val changes = state.poisonDetector.takeChanges()
        changes.begun.forEach { block ->
            eventLogger.record(
                "requests-blocked",
                "trait" to block.trait.kind,
                "value" to block.trait.value,
                "ambiguous" to block.isAmbiguous,
                "lastLossAgeMs" to time - block.lastLossAt,
                "lost" to block.targets.joinToString(",") { it.id.value },
            )
        }
        changes.ended.forEach {
            eventLogger.record(
                "requests-unblocked",
                "trait" to it.trait.kind,
                "value" to it.trait.value,
                "afterMs" to time - it.since,
            )
        }
        if (changes.begun.isNotEmpty()) activeCalls.stopBlocked(state.poisonDetector, time)
        poisonReport = state.poisonDetector.buildReport(time)
        if (time - openLossesAt >= OPEN_LOSSES_INTERVAL_MILLISECONDS) {
            openLossesAt = time
            openLosses = state.poisonDetector.openLosses(time)
        }
        poisonVersion = state.poisonDetector.version
    }

    private companion object {
        val CHECK_INTERVAL: Duration = Duration.ofMillis(50)

        /** Twice the interval between two checks. */
        const val MAX_INTERVAL_MILLISECONDS = 100L

        /** A process paused for this long has not read the responses received in the meantime. */
        const val PROCESS_PAUSE_MILLISECONDS = 250L

        /** Calls at a group stalled for this long are hedged without its controller: callers cancel after 2 s. */
        const val STALL_LIMIT_MILLISECONDS = 1_200L

        /** Two of the longest heartbeat periods, since a datagram may be lost. */
        const val REPORT_WINDOW_MILLISECONDS = HeartbeatSchedule.MAX_PERIOD_MILLISECONDS * 2
        const val CLEANUP_INTERVAL_MILLISECONDS = 5_000L

        /** They are written that often at most, and change seldom. */
        const val OPEN_LOSSES_INTERVAL_MILLISECONDS = 1_000L
    }
}
