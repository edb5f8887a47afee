/*
 * The messages last sent to a peer.
 */
package org.vanillalink.gateway.peers

/** Times are milliseconds on the steady clock. */
internal data class PeerSendState(
    /** When the next message is due. */
    val nextSendAt: Long,
    val groups: SentDetails,
    val poison: SentDetails,
    val limits: SentDetails,
)

/** The version of a part of this daemon's messages that was last sent, and when. */
internal data class SentDetails(
    val version: Long,
    val at: Long,
)

/** The properties by which messages to peers differ. */
internal data class MessageVariant(
    val isSameDomain: Boolean,
    val includesGroups: Boolean,
    val includesPoison: Boolean,
    val includesLimits: Boolean,
)
