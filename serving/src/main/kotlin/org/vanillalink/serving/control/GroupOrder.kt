/*
 * Orders that form, open and dissolve serving groups, and the answers of targets.
 *
 * An order without an answer may have taken effect, or may still take effect. Epochs make this harmless: a target
 * refuses to join a group with a lower epoch than one that it has seen, and the other orders name the group that they
 * apply to.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.GroupMembership

/** An order to a target. */
sealed interface GroupOrder {
    /** Become a member of a group; the first of [members] takes its requests. */
    data class Join(
        val key: GroupKey,
        val model: String,
        val members: List<HostId>,
    ) : GroupOrder

    /** Start to serve; sent to the first member only. */
    data class Open(
        val key: GroupKey,
    ) : GroupOrder

    /** Accept no further requests, complete those in flight, and return to the ready state. */
    data class Close(
        val key: GroupKey,
    ) : GroupOrder

    /** Leave the group immediately. */
    data class Leave(
        val key: GroupKey,
    ) : GroupOrder

    /** Load a model onto the host before it is needed. */
    data class Stage(
        val model: String,
    ) : GroupOrder
}

/** The outcome of an order. */
enum class OrderResult {
    /** The order is in progress, complete, or had already been carried out. */
    ACCEPTED,

    /** The order conflicts with the target's state, or its epoch is too low. */
    REFUSED,

    /** The address belongs to another target or to another instance. */
    OTHER_TARGET,

    /** The connection was refused; the order was definitely not received. */
    UNREACHABLE,

    /** There was no answer; the order may still take effect. */
    UNKNOWN,
}

/** A target's report of its own state. */
data class GroupReport(
    val bornAt: Long?,
    val model: String?,
    val staged: Set<String>,
    val membership: GroupMembership?,
    /** How much slower the target works than usual; 1 is the usual speed. */
    val slowdownFactor: Double,
    /** Whether the target announced that it is leaving, which its entry may not show yet. */
    val isLeaving: Boolean = false,
    /** Requests that the target works on or has queued, or null if it doesn't say. */
    val requestsInProgress: Int? = null,
)

/** The outcome of a report request to a target. */
sealed interface ReportResult {
    /** The report that the target returned. */
    data class Answered(
        val report: GroupReport,
    ) : ReportResult

    /** No answer arrived in time, the connection was refused, or another target answered. */
    data class Unresponsive(
        val reason: String,
        /** Whether the connection was refused; a network that is cut may refuse it in place of the host. */
        val isRefused: Boolean = false,
    ) : ReportResult
}
