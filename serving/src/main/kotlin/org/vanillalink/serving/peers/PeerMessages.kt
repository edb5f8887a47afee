/*
 * Messages that daemons send each other directly. They may be lost, duplicated and reordered; each message is
 * self-contained, and a later one replaces it.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.ReportedLimit
import org.vanillalink.serving.balancing.ReportedProgress
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance

/** The status of one daemon and of the groups that it controls. */
data class PeerMessage(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    /** Where this daemon receives messages of its peers. */
    val endpoint: Endpoint,
    /** When this daemon's process started, in Unix milliseconds. */
    val startedAt: Long,
    val sequence: Long,
    /** Milliseconds since the store last answered. */
    val storeAge: Long,
    val isLeaving: Boolean,
    /** Milliseconds until the next message to the receiver at the latest. */
    val period: Long,
    /**
     * Requests in flight by target: this daemon's own; to other failure domains, those of all daemons it represents.
     */
    val inFlight: Map<HostId, Int>,
    /**
     * Slot demand of callers by model or plain service: this daemon's own or, as for [inFlight], of all daemons it
     * represents.
     */
    val demand: Map<String, Double>,
    /** Groups that are stalled as seen by this daemon. */
    val suspects: Set<GroupKey>,
    /** Empty unless it has changed or was last sent a second ago. */
    val poison: PoisonReport,
    /** Targets that recently announced to this daemon that they are leaving. */
    val leaving: Set<TargetInstance>,
    val controlled: List<ControlledDomain>,
    /**
     * Limits of targets: those in answers to this daemon; to other failure domains, to all daemons it represents. Empty
     * unless it has changed or was last sent some seconds ago.
     */
    val limits: List<ReportedLimit> = emptyList(),
    /** The version of the configuration in force at this daemon, or 0 before it knows one. */
    val configurationVersion: Long = 0,
    /** Whether this daemon passes on messages for its failure domain; daemons of earlier versions don't. */
    val canRelay: Boolean = false,
    /** Whether the receiver passes the message on within its failure domain. */
    val isForDomain: Boolean = false,
    /** The daemon that passed this message on, or null if the sender sent it here itself. */
    val relayedBy: DaemonId? = null,
    /** To other failure domains: the live peers in this daemon's failure domain. Empty unless last sent a while ago. */
    val members: List<DomainMember> = emptyList(),
    /** Other failure domains of which no message has reached this daemon for a while. */
    val unheard: Set<FailureDomainId> = emptySet(),
    /**
     * Groups that stand still or move again, as seen by this daemon; to other failure domains, those of which it has
     * heard, too, if it controls any.
     */
    val progress: List<ReportedProgress> = emptyList(),
) {
    /** Always empty, but daemons of earlier versions require it. */
    @Suppress("unused")
    val strikes: List<String> get() = emptyList()
}

/** A live daemon as its failure domain's representative lists it, with the times of [PeerMessage]. */
data class DomainMember(
    val daemon: DaemonId,
    val endpoint: Endpoint,
    val startedAt: Long,
    val storeAge: Long,
    val isLeaving: Boolean,
)

/** The groups of a failure domain as announced by its controller in [term]. */
data class ControlledDomain(
    val failureDomain: FailureDomainId,
    val term: Long,
    /** Lists only the heads as members; null until the controller has read the current state. */
    val groups: List<AnnouncedGroup>?,
    /** Groups that lost a member: their requests in flight won't complete. */
    val broken: Set<GroupKey>,
    /** True if [groups] is omitted because the receiver already has them. */
    val isSameAsBefore: Boolean = false,
)
