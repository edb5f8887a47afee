/*
 * What one peer was told last.
 */
package org.vanillalink.gateway.peers

/** Times are milliseconds on the steady clock. */
internal data class ToldPeer(
    /** When it is to be told next. */
    val dueAt: Long,
    /** The version of this daemon's groups that it was told. */
    val groupsVersion: Long,
    /** When it was last told of them. */
    val groupsAt: Long,
)

/** Peers that get the same message. */
internal data class Audience(
    val isInside: Boolean,
    val withGroups: Boolean,
)
