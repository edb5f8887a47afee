/*
 * Orders that form, open and dissolve serving groups, and what a target answers.
 *
 * An order without an answer may have been carried out, or may be carried out later. Epochs make that harmless: a
 * target refuses to join with a lower epoch than one that it has seen, and the other orders name the group that they
 * mean.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.GroupMembership

/** Something a target is told to do. */
sealed interface GroupOrder {
    /** Become a member of a group; the first of [members] takes its requests. */
    data class Join(
        val key: GroupKey,
        val model: String,
        val members: List<HostId>,
    ) : GroupOrder

    /** Begin to serve; sent to the first member only. */
    data class Open(
        val key: GroupKey,
    ) : GroupOrder

    /** Take nothing new, finish what runs, and go back to being ready. */
    data class Close(
        val key: GroupKey,
    ) : GroupOrder

    /** Leave the group at once. */
    data class Leave(
        val key: GroupKey,
    ) : GroupOrder

    /** Load a model onto the host ahead of need. */
    data class Stage(
        val model: String,
    ) : GroupOrder
}

/** What became of an order. */
enum class OrderResult {
    /** Begun, done, or already so. */
    ACCEPTED,

    /** Doesn't fit the target's state, or its epoch is too low. */
    REFUSED,

    /** The address belongs to another target, or to another run of it. */
    OTHER_TARGET,

    /** Nobody listens there; the order certainly wasn't taken. */
    UNREACHABLE,

    /** No answer; the order may be carried out later. */
    UNKNOWN,
}

/** What a target itself says when it is asked. */
data class GroupReport(
    val bornAt: Long?,
    val model: String?,
    val staged: Set<String>,
    val membership: GroupMembership?,
    /** How much slower than usual the target works; 1 is usual. */
    val slowdownFactor: Double,
    /** Whether the target says that it leaves, which its entry may not show yet. */
    val isLeaving: Boolean = false,
)

/** The outcome of asking a target for its report. */
sealed interface ReportResult {
    /** The target answered. */
    data class Answered(
        val report: GroupReport,
    ) : ReportResult

    /** Nobody answered in time, the connection was refused, or somebody else answered. */
    data class Unresponsive(
        val reason: String,
    ) : ReportResult
}
