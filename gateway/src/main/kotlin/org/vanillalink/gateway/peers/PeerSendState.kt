/*
 * The messages last sent to a peer.
 */
package org.vanillalink.gateway.peers

/** Times are milliseconds on the steady clock. */
internal data class PeerSendState(
    /** When the next message is due. */
    val nextSendAt: Long,
    /** The version of this daemon's groups and evidence about poison requests that was last sent. */
    val sentDetailsVersion: Long,
    /** When these were last included in a message. */
    val detailsSentAt: Long,
)

/** The properties by which messages to peers differ. */
internal data class MessageVariant(
    val isSameDomain: Boolean,
    val includesDetails: Boolean,
)
