/*
 * What a daemon tells operators of itself, its peers, groups and targets. Ages are milliseconds; a value that the
 * daemon doesn't know is null.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.model.Endpoint

/** Another daemon as this one knows it; [heardMilliseconds] is how long ago it was last heard. */
data class PeerAnswer(
    val daemon: String,
    val boot: String,
    val failureDomain: String,
    val operators: Endpoint,
    val status: String,
    val heardMilliseconds: Long,
    val revision: Long?,
    val heldFencingNumber: Long?,
)

/** Who controls a failure domain as far as one daemon knows; [fencingNumber] is the greatest that it has seen. */
data class ControlAnswer(
    val holder: String?,
    val fencingNumber: Long,
    val heldHere: Boolean,
)

/** A daemon and its peers. [ageMilliseconds] is how long ago the platform last confirmed [revision]. */
data class DaemonsAnswer(
    val daemon: String,
    val boot: String,
    val failureDomain: String,
    val ready: Boolean,
    val notReadyReason: String?,
    val draining: Boolean,
    val revision: Long?,
    val ageMilliseconds: Long?,
    val platformReachable: Boolean,
    val control: ControlAnswer,
    val peers: List<PeerAnswer>,
)

/** Why a group or target gets no new work; [host] is the member that causes it, where one does. */
data class NotServingAnswer(
    val reason: String,
    val host: String? = null,
    val detail: String? = null,
)

/** A serving group of the daemon's failure domain; [notServing] is null while it gets work. */
data class GroupAnswer(
    val group: String,
    val service: String,
    val generation: String,
    val members: List<String>,
    val serving: Boolean,
    val notServing: NotServingAnswer?,
    val straggler: String?,
)

/** How many groups of a model the configuration asks for in this failure domain, and how many get work. */
data class DesiredGroupsAnswer(
    val service: String,
    val desired: Int,
    val serving: Int,
)

/** The groups of one failure domain as one daemon sees them. */
data class GroupsAnswer(
    val daemon: String,
    val failureDomain: String,
    val failureDomainState: String,
    val control: ControlAnswer,
    val services: List<DesiredGroupsAnswer>,
    val groups: List<GroupAnswer>,
)

/** A target; what its report says is null where the daemon has none. [notServing] is null while it gets work. */
data class TargetAnswer(
    val host: String,
    val endpoint: Endpoint,
    val failureDomain: String,
    val fabricDomain: String,
    val role: String,
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
    val notServing: NotServingAnswer?,
)

/** The targets of one failure domain as one daemon sees them. */
data class TargetsAnswer(
    val daemon: String,
    val failureDomain: String,
    val targets: List<TargetAnswer>,
)
