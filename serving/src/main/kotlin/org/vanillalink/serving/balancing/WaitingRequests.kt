/*
 * The requests for one model or plain service that wait at one daemon, since no target has room for them: who goes
 * first, who may wait, who is refused at once, and when those that are refused may come back.
 *
 * More urgent requests go first; among equals those that can still meet their goal, and among these the shares of their
 * workspaces decide. A request waits as long as it is likely to start early enough. The rate at which answers end at
 * this daemon tells how fast the queue shortens, less what more urgent callers take. So that no priority is shut out,
 * one that is started less than a third as often as all gets the next room.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.WorkspaceId
import org.vanillalink.queueing.FairQueue
import org.vanillalink.queueing.QueuedRequest
import kotlin.random.Random

/** A request of [call] that waits; it can't be answered any more after [deadline]. */
class WaitingRequest<T>(
    val call: T,
    val work: RequestWork,
    override val workspace: WorkspaceId,
    val deadline: Long,
) : QueuedRequest {
    override val urgency: Int get() = urgencyOf(work)
    override val weight: Int get() = 1
    override val cost: Double get() = work.cost
}

private fun urgencyOf(work: RequestWork): Int = -(work.priority ?: 0)

/** Times are milliseconds on the steady clock. Not thread safe. */
class WaitingRequests<T>(
    random: Random,
) {
    private val queue = FairQueue<WaitingRequest<T>>()
    private val rates = RequestRates()
    private val returnTimes = ReturnTimes(random)

    val size: Int get() = queue.size

    /** Adds a request that has just arrived. */
    fun add(
        request: WaitingRequest<T>,
        now: Long,
    ) {
        rates.recordArrival(request.urgency, request.cost, now)
        queue.add(request)
    }

    /** Returns the request that gets the next room, without removing it. */
    fun next(now: Long): WaitingRequest<T>? {
        val underserved = queue.urgencies.firstOrNull { rates.isUnderserved(it, now) }
        return queue.peekPreferred(underserved) { meetsGoal(it, 0.0, now) }
    }

    /** Returns the first request whose call satisfies [isEligible], without removing it. */
    fun nextOther(isEligible: (T) -> Boolean): WaitingRequest<T>? = queue.peek { isEligible(it.call) }

    /** Removes [request] because it is sent. */
    fun removeToStart(
        request: WaitingRequest<T>,
        now: Long,
    ) {
        rates.recordStart(request.urgency, now)
        queue.removeToStart(request)
    }

    /** Removes [request], which won't be sent. */
    fun remove(request: WaitingRequest<T>) = queue.remove(request)

    /** Returns all requests, the next one first. */
    fun removeAll(): List<WaitingRequest<T>> = generateSequence { queue.peek()?.also { queue.remove(it) } }.toList()

    /** Returns the least entitled request if more than [MAX_WAITING] wait. */
    fun findSurplus(): WaitingRequest<T>? = if (queue.size > MAX_WAITING) queue.lowestRanked() else null

    /** Whether [request], the last one added, is likely enough to start in time. */
    fun mayWait(
        request: WaitingRequest<T>,
        now: Long,
    ): Boolean {
        val costAhead = queue.costAhead(request.urgency, request.workspace, request.weight) - request.cost
        return isInTime(request, maxOf(0.0, costAhead), now, CERTAIN)
    }

    /** Returns the requests that are no longer likely to start in time. */
    fun findHopeless(now: Long): List<WaitingRequest<T>> =
        queue.findTooLate { request, costAhead -> !isInTime(request, costAhead, now, AS_LIKELY_AS_NOT) }

    /**
     * The milliseconds until a caller that is refused now may come back, or null if that isn't known. Callers honour
     * up to [limit] milliseconds.
     */
    fun retryAfter(
        work: RequestWork,
        workspace: WorkspaceId,
        limit: Long,
        now: Long,
    ): Long? {
        val urgency = urgencyOf(work)
        val certain = rates.answered(now) * rates.certainFraction(urgency, now)
        val rate = maxOf(certain, remainingRate(urgency, now))
        if (rate <= 0) return null
        val cost = rates.meanCost(now)
        val queued = (queue.costAhead(urgency, workspace, weight = 1) + cost) / rate
        return returnTimes.assign(urgency, queued, cost / rate, limit, now)
    }

    /** Records that the caller of [fingerprint] was told to come back in [milliseconds]. */
    fun recordRefusal(
        fingerprint: RequestFingerprint,
        milliseconds: Long,
        now: Long,
    ) = returnTimes.record(fingerprint, now + milliseconds)

    /** Whether the caller of [fingerprint] was told to come back later than [now]. */
    fun comesTooSoon(
        fingerprint: RequestFingerprint,
        now: Long,
    ): Boolean = returnTimes.isBefore(fingerprint, now)

    fun recordFirstAnswer(
        milliseconds: Long,
        now: Long,
    ) = rates.recordFirstAnswer(milliseconds, now)

    fun recordAnswer(
        work: RequestWork,
        milliseconds: Long,
        now: Long,
    ) = rates.recordAnswer(work.cost, milliseconds, now)

    /**
     * How many requests for each of [slots] a group may have so that one of [work] is sent there, or null where
     * callers don't compete. The targets take more urgent requests from their queues first: such a request is sent
     * although all slots are taken, as many as get a slot within part of the time to their goal. The least urgent ones
     * only fill the slots.
     */
    fun limitPerSlot(
        work: RequestWork,
        slots: Int,
        now: Long,
    ): Double? {
        val urgencies = rates.recentUrgencies(now)
        val urgency = urgencyOf(work)
        val lessUrgent = urgencies.count { it < urgency }
        return when {
            urgencies.size < 2 -> null
            rates.isUnderserved(urgency, now) -> USUAL_PER_SLOT
            lessUrgent == 0 -> 1.0
            else -> moreThanSlots(work, slots, lessUrgent.toDouble() / (urgencies.size - 1), now)
        }
    }

    private fun moreThanSlots(
        work: RequestWork,
        slots: Int,
        rank: Double,
        now: Long,
    ): Double {
        val betweenEnds = rates.answerTime(now) / slots
        if (betweenEnds <= 0) return USUAL_PER_SLOT
        val queued = (work.goalAt - now).coerceAtLeast(0) * QUEUED_PART_OF_GOAL / betweenEnds
        return (1 + queued * rank / slots).coerceIn(USUAL_PER_SLOT, MAX_PER_SLOT)
    }

    /** Whether [request] can start in time after [costAhead], if that takes [confidence] times as long as expected. */
    private fun isInTime(
        request: WaitingRequest<T>,
        costAhead: Double,
        now: Long,
        confidence: Double,
    ): Boolean {
        if (now + rates.answerTime(now) > request.deadline) return false
        if (meetsGoal(request, waitTime(request, costAhead, isLate = false, now) * confidence, now)) return true
        val lateWait = waitTime(request, costAhead, isLate = true, now) * confidence * LATE_MARGIN
        return now + lateWait + rates.answerTime(now) <= request.deadline
    }

    private fun meetsGoal(
        request: WaitingRequest<T>,
        wait: Double,
        now: Long,
    ): Boolean = now + wait + rates.firstAnswerTime(now) <= request.work.goalAt

    /** The expected time until [request] starts, after [costAhead]; if it [isLate], others of its class go first. */
    private fun waitTime(
        request: WaitingRequest<T>,
        costAhead: Double,
        isLate: Boolean,
        now: Long,
    ): Double {
        val urgency = request.urgency
        val answered = rates.answered(now)
        val cost = rates.meanCost(now)
        if (isLate) return timeFor(costAhead + cost, answered - rates.arrived(urgency, isInclusive = true, now))
        val costAheadInClass = maxOf(0.0, costAhead - queue.costAbove(urgency))
        if (costAheadInClass == 0.0 && rates.isUnderserved(urgency, now)) return timeFor(cost, answered)
        val certain = timeFor(costAheadInClass + cost, answered * rates.certainFraction(urgency, now))
        return minOf(certain, timeFor(costAhead + cost, remainingRate(urgency, now)))
    }

    /** What is left for requests of [urgency] after what more urgent ones need and less urgent ones get for certain. */
    private fun remainingRate(
        urgency: Int,
        now: Long,
    ): Double {
        val certainBelow = rates.certainFractionBelow(urgency, now)
        return rates.answered(now) * (1 - certainBelow) - rates.arrived(urgency, isInclusive = false, now)
    }

    private fun timeFor(
        cost: Double,
        rate: Double,
    ): Double = if (rate > 0) cost / rate else Double.POSITIVE_INFINITY

    companion object {
        /** Each request that waits holds its body in memory. */
        const val MAX_WAITING = 256

        /** Requests for each slot that a target is sent at most where callers don't compete. */
        const val USUAL_PER_SLOT = 1.06
        private const val MAX_PER_SLOT = 1.25
        private const val QUEUED_PART_OF_GOAL = 0.25

        /** To begin to wait, more than the expected time must fit. */
        private const val CERTAIN = 1.25

        /** To go on waiting, about an even chance is enough: slots become free at random. */
        private const val AS_LIKELY_AS_NOT = 0.5

        /** A late answer is worth little, so a request waits for one only if it is nearly certain. */
        private const val LATE_MARGIN = 2.0
    }
}
