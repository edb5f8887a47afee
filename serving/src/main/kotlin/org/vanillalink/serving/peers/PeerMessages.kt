/*
 * What daemons tell each other directly. Messages may be lost, doubled and reordered; each one stands for itself, and a
 * later one replaces it.
 */
package org.vanillalink.serving.peers

import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.Strike
import org.vanillalink.serving.control.AnnouncedGroup
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetInstance

/** What one daemon says of itself and of the groups that it controls. */
data class PeerMessage(
    val daemon: DaemonId,
    val failureDomain: FailureDomainId,
    /** Where this daemon hears its peers. */
    val endpoint: Endpoint,
    /** When this run of the daemon began, in Unix milliseconds. */
    val startedAt: Long,
    val sequence: Long,
    /** Milliseconds since the store last answered. */
    val storeAge: Long,
    val isLeaving: Boolean,
    /** Milliseconds until the receiver hears of this daemon again at the latest. */
    val period: Long,
    /** This daemon's requests by target; to other failure domains those of all daemons that it speaks for. */
    val inFlight: Map<HostId, Int>,
    /** Places that callers of this daemon ask for, by model; like [inFlight] for those it speaks for. */
    val demand: Map<String, Double>,
    /** Groups whose answers stand still here. */
    val suspects: Set<GroupKey>,
    val strikes: List<Strike>,
    /** Targets that have lately told this daemon itself that they leave. */
    val leaving: Set<TargetInstance>,
    val controlled: List<ControlledDomain>,
)

/** The groups of a failure domain by the word of its controller in [term]. */
data class ControlledDomain(
    val failureDomain: FailureDomainId,
    val term: Long,
    /** With their heads only; null where the controller has not yet read how things stand. */
    val groups: List<AnnouncedGroup>?,
    /** Groups that lost a member: work in progress there won't end. */
    val broken: Set<GroupKey>,
    /** [groups] is left out, as the receiver was told the same before. */
    val isSameAsBefore: Boolean = false,
)
