/*
 * The traffic side as the control thread sees it: pictures go in, counts come out.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.gateway.control.TrafficSummary
import org.vanillalink.gateway.logs.LoopDelay
import org.vanillalink.gateway.ports.EntryBounds
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.Strike
import org.vanillalink.serving.peers.HeartbeatSchedule
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.transport.NettyEventLoops
import java.time.Duration
import kotlin.random.Random

/** Holds the state of the traffic thread and a copy of what others ask for. */
internal class LiveTraffic(
    bounds: EntryBounds,
    private val loops: NettyEventLoops,
    random: Random,
    private val now: () -> Long,
    private val delay: LoopDelay,
) : TrafficSummary {
    val state = TrafficState(bounds, random)
    val active = ActiveCalls()

    @Volatile
    private var counts: Map<HostId, Int> = emptyMap()

    @Volatile
    private var demand: Map<String, Double> = emptyMap()

    @Volatile
    private var standing: Set<GroupKey> = emptySet()

    @Volatile
    private var strikes: List<Strike> = emptyList()

    @Volatile
    private var leaving: Set<TargetInstance> = emptySet()

    @Volatile
    private var hasTraffic = false
    private var tidiedAt = 0L
    private var watchedAt = now()

    init {
        loops.schedule(WATCH, ::watch)
    }

    override fun inFlight(): Map<HostId, Int> = counts

    override fun demand(): Map<String, Double> = demand

    override fun suspects(): Set<GroupKey> = standing

    override fun leaving(): Set<TargetInstance> = leaving

    override fun hasTraffic(): Boolean = hasTraffic

    /** Strikes seen lately. */
    fun strikes(): List<Strike> = strikes

    /** A caller has come. */
    fun sawRequest() {
        hasTraffic = true
    }

    override fun publish(view: TrafficView) {
        val before = state.view
        state.view = view
        val broken = view.broken - before.broken
        if (broken.isNotEmpty()) loops.execute { active.broken(broken) }
    }

    /** A peer has told of its requests and of requests that took targets down. */
    fun heard(message: PeerMessage) = loops.execute {
        val at = now()
        state.inFlight.recordPeerCounts(
            message.daemon,
            message.inFlight,
            at,
            HeartbeatSchedule.livenessTimeout(message.period),
        )
        state.paths.recordDaemonMessage(message.failureDomain, at)
        message.strikes.forEach { state.failures.recordPeerStrike(it, at) }
    }

    private fun watch() {
        val at = now()
        delay.began(watchedAt + WATCH.toMillis(), at)
        if (at - watchedAt > PAUSE_MILLISECONDS) state.stalls.resetAfterPause(at)
        watchedAt = at
        val stalled = state.watch(at)
        standing = active.groupsAt(stalled.keys)
        active.stalled(state.unreachableTargets(), "path-cut")
        active.stalled(stalled.filterValues { it > GIVEN_UP_MILLISECONDS }.keys, "group-stalled")
        counts = state.inFlight.localCounts()
        demand = state.demand.slotDemand(at)
        strikes = state.failures.localStrikesSince(at - TOLD_MILLISECONDS).takeLast(STRIKES_TOLD_AT_MOST)
        leaving = state.leavingSince(at - TOLD_MILLISECONDS)
        if (at - tidiedAt > TIDY_MILLISECONDS) {
            tidiedAt = at
            state.tidy(at)
        }
        loops.schedule(WATCH, ::watch)
    }

    private companion object {
        val WATCH: Duration = Duration.ofMillis(50)

        /** A process that paused so long has not read what came meanwhile. */
        const val PAUSE_MILLISECONDS = 250L

        /** A group that no controller has judged by now is left all the same: callers leave a stream after 2 s. */
        const val GIVEN_UP_MILLISECONDS = 1_200L

        /** Two of the longest periods between heartbeats, since a datagram may be lost. */
        const val TOLD_MILLISECONDS = HeartbeatSchedule.MAX_PERIOD_MILLISECONDS * 2

        /** Bounds the size of a datagram; targets that fail faster than this tell of another cause. */
        const val STRIKES_TOLD_AT_MOST = 50
        const val TIDY_MILLISECONDS = 5_000L
    }
}
