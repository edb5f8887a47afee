/*
 * What one peer was told last.
 */
package org.vanillalink.gateway.peers

/** Times are milliseconds on the steady clock. */
internal data class PeerSendState(
    /** When it is to be told next. */
    val nextSendAt: Long,
    /** The version of this daemon's groups that it was told. */
    val sentGroupsVersion: Long,
    /** When it was last told of them. */
    val groupsSentAt: Long,
)

/** Peers that get the same message. */
internal data class MessageVariant(
    val isSameDomain: Boolean,
    val includesGroups: Boolean,
)
