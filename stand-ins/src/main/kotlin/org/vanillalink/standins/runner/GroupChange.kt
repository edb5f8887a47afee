/*
 * What a runner did as a member of groups.
 */
package org.vanillalink.standins.runner

/** A group, as the orders to join name it; the first of [members] is the head. */
data class GroupIdentity(
    val name: String,
    val epoch: Long,
    val model: String,
    val members: List<String>,
)

/** What happened to a membership. */
enum class GroupChangeKind {
    JOINED,
    OPENED,

    /** The head accepts nothing new, and has completed what it had. */
    CLOSING,
    CLOSED,
    LEFT,

    /** The runner has ended, or has started anew. */
    ENDED,
}

/** A change of a runner's membership in [group]; a join or an order to open takes effect [afterMilliseconds] later. */
data class GroupChange(
    val kind: GroupChangeKind,
    val group: GroupIdentity,
    val afterMilliseconds: Long = 0,
)
