/*
 * The messages last sent to a peer, and what the next one includes.
 */
package org.vanillalink.gateway.peers

import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.peers.HeartbeatPath

/** Times are milliseconds on the steady clock. */
internal data class PeerSendState(
    val sentAt: Long,
    val groups: SentDetails,
    val poison: SentDetails,
    val limits: SentDetails,
    /** When the daemons of this daemon's failure domain were last listed. */
    val membersSentAt: Long?,
)

/** The version of a part of this daemon's messages that was last sent, and when. */
internal data class SentDetails(
    val version: Long,
    val at: Long,
)

/** The properties by which messages to peers differ. */
internal data class MessageVariant(
    val path: HeartbeatPath,
    val includesGroups: Boolean,
    val includesPoison: Boolean,
    val includesLimits: Boolean,
    val includesMembers: Boolean,
)

/** What the control loop doesn't know of a message to peers. */
internal data class PeerMessageParts(
    val sequence: Long,
    /** When this daemon's process started, in Unix milliseconds. */
    val startedAt: Long,
    val poison: PoisonReport,
    val includesGroups: Boolean,
    val includesLimits: Boolean,
    val includesMembers: Boolean,
    val unheard: Set<FailureDomainId>,
)
