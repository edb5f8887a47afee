/*
 * Messages of the operators' port on daemons, groups and targets, as the tool reads them.
 */
package org.vanillalink.tool

import org.vanillalink.model.Endpoint

/** Another daemon as the answering one knows it. */
data class PeerMessage(
    val daemon: String,
    val failureDomain: String,
    val operators: Endpoint,
    val status: String,
    val heardMilliseconds: Long,
    val revision: Long?,
)

/** Who controls a failure domain as far as the answering daemon knows. */
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

/** Why something gets no new work. */
data class NotServingMessage(
    val reason: String,
    val host: String?,
    val detail: String?,
) {
    override fun toString(): String = listOfNotNull(reason, host, detail).joinToString(" ")
}

/** A serving group. */
data class GroupMessage(
    val group: String,
    val service: String,
    val generation: String,
    val members: List<String>,
    val serving: Boolean,
    val notServing: NotServingMessage?,
    val straggler: String?,
)

/** How many groups of a service are asked for and how many serve. */
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

/** A target. */
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

/** The answer of a daemon that was asked to end. */
data class DrainResponse(
    val daemon: String,
    val drainSeconds: Long,
)
