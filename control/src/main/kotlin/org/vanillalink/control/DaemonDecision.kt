/*
 * Everything that a daemon's decisions ask to be done.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.EditorDecision
import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.control.admission.AdmissionTask
import org.vanillalink.dispatch.path.PathDecision
import org.vanillalink.dispatch.poison.PoisonDecision
import org.vanillalink.dispatch.record.DispatchDecision
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.NotServingReason
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.ReportDelta
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterDecision

/** Where an attempt goes. [group] and [generation] are set for a model, and [fencingNumber] where one is known. */
data class AttemptTarget(
    val host: HostId,
    val endpoint: Endpoint,
    val boot: BootId,
    val group: GroupId? = null,
    val generation: Generation? = null,
    val fencingNumber: FencingNumber? = null,
)

/** A decision of [DaemonControl]. */
sealed interface DaemonDecision {
    /** Ask [host]'s target at [endpoint] for its report and feed [DaemonEvent.ReportReceived]. */
    data class FetchReport(
        val host: HostId,
        val endpoint: Endpoint,
    ) : DaemonDecision

    /** Tell [peer] at [endpoint] of reports, and feed [DaemonEvent.ReportsAcknowledged]. */
    data class ShareReports(
        val peer: DaemonId,
        val endpoint: Endpoint,
        val delta: ReportDelta,
    ) : DaemonDecision

    /** Send or answer a heartbeat. */
    data class ForMembership(
        val decision: MembershipDecision,
    ) : DaemonDecision

    /** Carry out a decision on the failure domain's control and feed its answer back with [DaemonEvent.ForDomain]. */
    data class ForDomain(
        val decision: DomainDecision,
    ) : DaemonDecision

    /** Carry out a decision of the configuration's copy. */
    data class ForReplica(
        val decision: ReplicaDecision,
    ) : DaemonDecision

    /** Carry out a decision of the configuration's editor. */
    data class ForEditor(
        val decision: EditorDecision,
    ) : DaemonDecision

    /** Send a request to a target of this failure domain. */
    data class StartAttempt(
        val request: RequestId,
        val attempt: Int,
        val target: AttemptTarget,
    ) : DaemonDecision

    /** Carry out a decision on a keyed call, but for sending it. */
    data class ForDispatch(
        val decision: DispatchDecision,
    ) : DaemonDecision

    /** Probe a target, or end streams on a silent connection. */
    data class ForPath(
        val decision: PathDecision,
    ) : DaemonDecision

    /** Send or answer a message about permits to run a suspect request. */
    data class ForPoison(
        val decision: PoisonDecision,
    ) : DaemonDecision

    /** Carry out another decision of the router. */
    data class ForRouter(
        val decision: RouterDecision,
    ) : DaemonDecision

    /** Carry out what admission wants done and feed its answer back with [DaemonEvent.ForAdmission]. */
    data class ForAdmission(
        val task: AdmissionTask,
    ) : DaemonDecision

    /** End all attempts at [host] as failed: its group serves no more because of [reason]. */
    data class EndAttempts(
        val host: HostId,
        val group: GroupId,
        val reason: NotServingReason,
    ) : DaemonDecision

    /** From now on work by [document]. */
    data class ConfigurationChanged(
        val document: ConfigurationDocument,
        val revision: Long,
    ) : DaemonDecision

    /** Write an event to the time line. */
    data class Record(
        val name: String,
        val fields: Map<String, Any?>,
    ) : DaemonDecision
}
