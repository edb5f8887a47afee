/*
 * Groups that stand still: their streams have missed several passes. They get no first attempts until they move again;
 * nothing ends for this reason, since a sound group may be silent for a second and go on.
 *
 * Each daemon sees only its own streams, so daemons tell each other which groups stand, and that they move again. A
 * report counts against what has been seen since: it says for how long nothing has moved, and a byte that came
 * meanwhile refutes it. Daemons of the same failure domain share most of their paths; the word of others about
 * progress doesn't show that the path from here works.
 *
 * A group is open again after a byte of any of its streams, or the word of a peer. Otherwise single requests are sent
 * as trials. If that word is wrong for this daemon, the next one is not followed: only a byte counts then.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.serving.targets.GroupKey

/** What a daemon says of a group: nothing has moved there for [silence] milliseconds, or it moved that long ago. */
data class ReportedProgress(
    val group: GroupKey,
    val silence: Long,
    val isStanding: Boolean,
)

/** A group begins to stand, or moves again; [standingMilliseconds] is null for the former. */
data class StandingChange(
    val group: GroupKey,
    val standingMilliseconds: Long?,
    val isReportedByPeer: Boolean,
    val trials: Int,
)

/** Silence of the streams of a group, as seen by this daemon: for [milliseconds], where [limit] is usual at most. */
data class ObservedSilence(
    val milliseconds: Long,
    val limit: Long,
    /** Whether an answer that had begun is silent. Otherwise, requests wait for their first events. */
    val hasStartedAnswer: Boolean,
)

/** Times are milliseconds on the steady clock. Not thread safe. */
class StandingGroups(
    private val trialSchedule: TrialSchedule,
) {
    private class Standing(
        val since: Long,
        /** Since when nothing has moved. */
        var silentSince: Long,
        var nextTrialAt: Long,
        /** Whether streams of this daemon were silent there. */
        var isSeenHere: Boolean = false,
        /** Whether this daemon's view is worth reporting. */
        var isReported: Boolean = false,
        /** Whether peers in this daemon's failure domain have reported it. */
        var isHeardNearby: Boolean = false,
        val ignoresPeers: Boolean = false,
        var trials: Int = 0,
    ) {
        /** Whether the silence was seen in this daemon's failure domain. */
        val isNear: Boolean get() = isSeenHere || isHeardNearby

        /** Whether the word of a peer, which [isPeerNear] or in another failure domain, doesn't count. */
        fun isClosedTo(isPeerNear: Boolean): Boolean = ignoresPeers || (isNear && !isPeerNear)
    }

    private val standing = HashMap<GroupKey, Standing>()
    private val progressAt = HashMap<GroupKey, Long>()
    private val movingReportedUntil = HashMap<GroupKey, Long>()
    private val openedByPeerAt = HashMap<GroupKey, Long>()
    private val changes = ArrayList<StandingChange>()

    /** How many groups stand. */
    val count: Int get() = standing.size

    /** Changes when peers need a report at once. */
    var version = 0L
        private set

    fun isStanding(group: GroupKey): Boolean = group in standing

    /** Whether it is this daemon's turn to send one request to [group], which stands. */
    fun isTrialDue(
        group: GroupKey,
        isHedgeable: Boolean,
        now: Long,
    ): Boolean {
        val dueAt = standing[group]?.nextTrialAt ?: return false
        return now >= dueAt + if (isHedgeable) 0 else TrialSchedule.HEDGEABLE_WAIT_MILLISECONDS
    }

    /** Records that a request is sent to [group]; returns whether it is a trial. */
    fun recordSent(
        group: GroupKey,
        now: Long,
        daemonCount: Int,
    ): Boolean {
        val current = standing[group] ?: return false
        current.trials += 1
        current.nextTrialAt = trialSchedule.next(current.since, now, daemonCount)
        return true
    }

    /** Records bytes of a response of [group]. */
    fun recordProgress(
        group: GroupKey,
        now: Long,
    ) {
        progressAt[group] = now
        val ended = standing.remove(group) ?: return
        recordEnd(group, ended, now, isReportedByPeer = false)
        if (ended.isReported || !ended.isSeenHere) announceMoving(group, now)
    }

    /** Records the [silence] of this daemon's streams at [group]. */
    fun recordSilence(
        group: GroupKey,
        silence: ObservedSilence,
        now: Long,
        daemonCount: Int,
    ) {
        if (silence.milliseconds < silence.limit) return
        val silentSince = now - silence.milliseconds
        val current = standing[group] ?: begin(group, silentSince, now, daemonCount, isReportedByPeer = false)
        current.isSeenHere = true
        // A single request without an answer may be queued, and one that others have seen move is cut off from here.
        val isWorthReporting = silence.hasStartedAnswer && (progressAt[group] ?: silentSince) <= silentSince
        if (!isWorthReporting || current.isReported) return
        current.isReported = true
        if (!current.isHeardNearby) version += 1
    }

    /** Applies what a peer reports of groups; [isNear] is whether it is in this daemon's failure domain. */
    fun recordReport(
        report: ReportedProgress,
        isNear: Boolean,
        now: Long,
        daemonCount: Int,
    ) {
        if (report.isStanding) {
            applyStanding(report, isNear, now, daemonCount)
        } else {
            applyMoving(report.group, now - report.silence, isNear, now)
        }
    }

    private fun applyStanding(
        report: ReportedProgress,
        isNear: Boolean,
        now: Long,
        daemonCount: Int,
    ) {
        val silentSince = now - report.silence
        if ((progressAt[report.group] ?: silentSince) - silentSince > TOLERANCE_MILLISECONDS) {
            if (now - progressAt.getValue(report.group) < REFUTING_MILLISECONDS) announceMoving(report.group, now)
            return
        }
        val current =
            standing[report.group] ?: begin(report.group, silentSince, now, daemonCount, isReportedByPeer = true)
        current.silentSince = maxOf(current.silentSince, silentSince)
        current.isHeardNearby = current.isHeardNearby || isNear
    }

    private fun applyMoving(
        group: GroupKey,
        movedAt: Long,
        isNear: Boolean,
        now: Long,
    ) {
        val current = standing[group]
        if (current?.isClosedTo(isNear) == true) return
        progressAt.merge(group, movedAt, ::maxOf)
        if (current == null || movedAt <= current.silentSince) return
        standing.remove(group)
        if (current.isSeenHere) openedByPeerAt[group] = now
        recordEnd(group, current, now, isReportedByPeer = true)
    }

    /** Opens [groups] again, since the failure domain that they are in is reachable again. */
    fun open(
        groups: Collection<GroupKey>,
        now: Long,
    ) = groups.forEach { group ->
        standing.remove(group)?.let { recordEnd(group, it, now, isReportedByPeer = true) }
    }

    /** What peers are told; [includesHeard] is whether also what this daemon knows from others of its domain. */
    fun report(
        includesHeard: Boolean,
        now: Long,
    ): List<ReportedProgress> {
        val standingReports =
            standing
                .filterValues { it.isReported || (includesHeard && it.isHeardNearby) }
                .map { (group, current) -> ReportedProgress(group, now - current.silentSince, true) }
        val movingReports =
            movingReportedUntil
                .filter { (group, until) -> now < until && group !in standing }
                .map { (group, _) -> ReportedProgress(group, now - (progressAt[group] ?: now), false) }
        return (standingReports + movingReports).take(MAX_REPORTS)
    }

    /** Returns the changes since the last call. */
    fun takeChanges(): List<StandingChange> = changes.toList().also { changes.clear() }

    /** Removes the state of groups other than [groups]. */
    fun retainGroups(groups: Set<GroupKey>) {
        listOf(standing, progressAt, movingReportedUntil, openedByPeerAt).forEach { it.keys.retainAll(groups) }
    }

    private fun begin(
        group: GroupKey,
        silentSince: Long,
        now: Long,
        daemonCount: Int,
        isReportedByPeer: Boolean,
    ): Standing {
        val isAgain = openedByPeerAt[group]?.let { now - it < DISTRUST_MILLISECONDS } == true
        val nextTrialAt = trialSchedule.next(now, now, daemonCount)
        changes += StandingChange(group, null, isReportedByPeer, 0)
        return Standing(now, silentSince, nextTrialAt, ignoresPeers = isAgain).also { standing[group] = it }
    }

    private fun recordEnd(
        group: GroupKey,
        ended: Standing,
        now: Long,
        isReportedByPeer: Boolean,
    ) {
        changes += StandingChange(group, now - ended.since, isReportedByPeer, ended.trials)
    }

    private fun announceMoving(
        group: GroupKey,
        now: Long,
    ) {
        if ((movingReportedUntil[group] ?: 0) <= now) version += 1
        movingReportedUntil[group] = now + REPORT_MILLISECONDS
    }

    companion object {
        /** A writer shows an event with each pass; single passes are longer, where much is read. */
        private const val MISSED_PASSES = 4

        /** Less is within what a daemon and a network delay bytes by. */
        private const val MIN_SILENCE_MILLISECONDS = 200L
        private const val MIN_FIRST_EVENT_MILLISECONDS = 400L

        /** Beyond this, waiting has nothing to do with the length of a pass. */
        private const val MAX_FIRST_EVENT_MILLISECONDS = 600L
        private const val FIRST_EVENT_MARGIN = 3

        /** Longer than two heartbeats to peers in the failure domain usually are apart. */
        private const val REPORT_MILLISECONDS = 1_000L

        /** Progress as recent as this refutes a report; older one doesn't show that the group still moves. */
        private const val REFUTING_MILLISECONDS = 150L

        /** Bytes of the same pass don't reach all daemons at once. */
        private const val TOLERANCE_MILLISECONDS = 50L
        private const val DISTRUST_MILLISECONDS = 5_000L

        /** Limits the datagram's size. */
        private const val MAX_REPORTS = 40

        /** The silence of a begun answer that is usual at most, at a group with [writers]. */
        fun passLimit(
            times: EngineTimes,
            writers: Int,
        ): Long = maxOf(MIN_SILENCE_MILLISECONDS, (MISSED_PASSES * times.pass(writers)).toLong())

        /** The silence before a first event that is usual at most, where it is [predicted]. */
        fun firstEventLimit(predicted: FirstEventPrediction): Long =
            (FIRST_EVENT_MARGIN * predicted.usual).coerceIn(MIN_FIRST_EVENT_MILLISECONDS, MAX_FIRST_EVENT_MILLISECONDS)
    }
}
