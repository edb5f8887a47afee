/*
 * Responses of the operators' port about daemons, groups and targets. Each has only the fields that the tool reads.
 */
package org.vanillalink.tool

import org.vanillalink.model.Endpoint

/** A peer in the view of the responding daemon. */
data class PeerMessage(
    val daemon: String,
    val failureDomain: String,
    val operators: Endpoint,
    val status: String,
    val heardMilliseconds: Long,
    val revision: Long?,
)

/** The daemon that controls a failure domain, in the view of the responding daemon. */
data class ControlMessage(
    val holder: String?,
    val fencingNumber: Long,
    val heldHere: Boolean,
)

/** A daemon and its peers. */
data class DaemonMessage(
    val daemon: String,
    val boot: String,
    val failureDomain: String,
    val ready: Boolean,
    val notReadyReason: String?,
    val draining: Boolean,
    val revision: Long?,
    val ageMilliseconds: Long?,
    val platformReachable: Boolean,
    val control: ControlMessage,
    val peers: List<PeerMessage>,
)

/** Why a group or target is sent no new requests. */
data class NotServingMessage(
    val reason: String,
    val host: String?,
    val detail: String?,
) {
    override fun toString(): String = listOfNotNull(reason, host, detail).joinToString(" ")
}

/** A serving group with its members' hosts; [notServing] is null while it serves. */
data class GroupMessage(
    val group: String,
    val service: String,
    val generation: String,
    val members: List<String>,
    val serving: Boolean,
    val notServing: NotServingMessage?,
    val straggler: String?,
)

/** The number of groups that a service should have and the number that serve. */
data class DesiredGroupsMessage(
    val service: String,
    val desired: Int,
    val serving: Int,
)

/** The groups of a failure domain. */
data class GroupsMessage(
    val daemon: String,
    val failureDomain: String,
    val failureDomainState: String,
    val control: ControlMessage,
    val services: List<DesiredGroupsMessage>,
    val groups: List<GroupMessage>,
)

/** A target in the view of the responding daemon; fields of its last report are null if there is none. */
data class TargetMessage(
    val host: String,
    val failureDomain: String,
    val fabricDomain: String,
    val service: String?,
    val group: String?,
    val generation: String?,
    val rank: Int?,
    val phase: String?,
    val cold: Boolean?,
    val bearableRequests: Int?,
    val runningAttempts: Int?,
    val fencingNumber: Long?,
    val reportAgeMilliseconds: Long?,
    val notServing: NotServingMessage?,
)

/** The targets of a failure domain. */
data class TargetsMessage(
    val daemon: String,
    val failureDomain: String,
    val targets: List<TargetMessage>,
)

/** The response to a drain request; requests still running after [drainSeconds] are cut off. */
data class DrainResponse(
    val daemon: String,
    val drainSeconds: Long,
)
