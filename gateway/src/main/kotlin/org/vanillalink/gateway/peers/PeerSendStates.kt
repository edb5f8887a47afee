/*
 * Determines when peers are due a message, and which parts it includes: those that have changed since they were last
 * sent to the peer, and from time to time all, since datagrams may be lost.
 */
package org.vanillalink.gateway.peers

import org.vanillalink.gateway.traffic.TrafficMonitor
import org.vanillalink.model.DaemonId
import org.vanillalink.serving.peers.HeartbeatPath
import org.vanillalink.serving.peers.HeartbeatSchedule

/** Confined to the control thread; times are milliseconds on the steady clock. */
internal class PeerSendStates(
    private val groupsVersion: () -> Long,
    private val traffic: TrafficMonitor,
) {
    private val states = HashMap<DaemonId, PeerSendState>()

    fun remove(peer: DaemonId) {
        states.remove(peer)
    }

    fun isDue(
        peer: DaemonId,
        period: Long,
        now: Long,
    ): Boolean {
        val state = states[peer] ?: return true
        return now - state.sentAt >= period
    }

    /** What the next message to [peer] on [path] includes. */
    fun variant(
        peer: DaemonId,
        path: HeartbeatPath,
        now: Long,
    ): MessageVariant {
        val state = states[peer] ?: return MessageVariant(path, true, true, true, !path.isWithinDomain)
        return MessageVariant(
            path,
            isNeeded(state.groups, groupsVersion(), DETAILS_RESEND_MILLISECONDS, now),
            now - state.poison.at >= poisonInterval(state.poison, path),
            isNeeded(state.limits, traffic.limitsVersion, LIMITS_RESEND_MILLISECONDS, now),
            !path.isWithinDomain && areMembersNeeded(state, now),
        )
    }

    private fun isNeeded(
        sent: SentDetails,
        version: Long,
        interval: Long,
        now: Long,
    ): Boolean = sent.version != version || now - sent.at >= interval

    private fun poisonInterval(
        sent: SentDetails,
        path: HeartbeatPath,
    ): Long = when {
        sent.version != traffic.poisonVersion -> POISON_CHANGE_MILLISECONDS
        path.isWithinDomain && traffic.poisonReport().losses.isNotEmpty() -> LOSSES_RESEND_MILLISECONDS
        else -> POISON_RESEND_MILLISECONDS
    }

    private fun areMembersNeeded(
        state: PeerSendState,
        now: Long,
    ): Boolean =
        state.membersSentAt == null || now - state.membersSentAt >= HeartbeatSchedule.MEMBERS_PERIOD_MILLISECONDS

    /** Records that a message with the parts of [variant] was sent to [peer]. */
    fun recordSent(
        peer: DaemonId,
        variant: MessageVariant,
        now: Long,
    ) {
        val previous = states[peer]
        val sentGroups = SentDetails(groupsVersion(), now)
        val sentPoison = SentDetails(traffic.poisonVersion, now)
        val sentLimits = SentDetails(traffic.limitsVersion, now)
        states[peer] =
            PeerSendState(
                now,
                if (variant.includesGroups || previous == null) sentGroups else previous.groups,
                if (variant.includesPoison || previous == null) sentPoison else previous.poison,
                if (variant.includesLimits || previous == null) sentLimits else previous.limits,
                if (variant.includesMembers) now else previous?.membersSentAt,
            )
    }

    private companion object {
        /** Limits how long a peer uses outdated groups and evidence after a lost datagram. */
        const val DETAILS_RESEND_MILLISECONDS = 1_000L

        /** With each lost target there are many changes within some milliseconds. */
        const val POISON_CHANGE_MILLISECONDS = 150L

        const val LOSSES_RESEND_MILLISECONDS = 2_000L

        /** Blocks change rarely, and losses reach other domains from each daemon that has heard of them. */
        const val POISON_RESEND_MILLISECONDS = 5_000L

        /** Limits how long a peer doesn't know a limit, or its end, after a lost datagram. */
        const val LIMITS_RESEND_MILLISECONDS = 3_000L
    }
}
