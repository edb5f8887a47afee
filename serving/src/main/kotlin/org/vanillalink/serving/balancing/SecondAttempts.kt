/*
 * Decides when a request that waits for its first event gets a second attempt on a prediction's word, while it can
 * still make its goal.
 *
 * A second attempt takes a slot that another request may need. It begins only where the group is known to stand, or
 * stood when the request was sent: otherwise the request merely queues, and would do so elsewhere.
 */
package org.vanillalink.serving.balancing

/** What is known of the group that a request was sent to. */
enum class GroupSign {
    /** Other streams have gone on since the request was sent. */
    MOVES,

    /** Nothing is known but the request's own wait, which may be in the group's queue. */
    NONE,

    STANDS,

    /** The group stood when the request was sent as a trial. */
    ON_TRIAL,
}

/** A request that has waited for its first event for [waited] milliseconds, and has [timeToGoal] left. */
data class AwaitedFirstEvent(
    val waited: Long,
    val timeToGoal: Long,
    val prediction: FirstEventPrediction,
    val sign: GroupSign,
)

/** Stateless. */
object SecondAttempts {
    /** The part of the retry budget for second attempts by prediction; the rest is for streams of lost groups. */
    const val BUDGET_SHARE = 0.5

    /** Second attempts are considered a few times in this time. */
    private const val LAST_MOMENT_MILLISECONDS = 100L

    /** Why [event] needs a second attempt now, or null. */
    fun findReason(event: AwaitedFirstEvent): String? {
        val spare = event.timeToGoal - event.prediction.byEngine
        if (spare < 0) return null
        return when (event.sign) {
            GroupSign.MOVES, GroupSign.NONE -> null
            GroupSign.STANDS -> "group-standing"
            GroupSign.ON_TRIAL -> "trial-silent".takeIf { spare < LAST_MOMENT_MILLISECONDS }
        }
    }
}
