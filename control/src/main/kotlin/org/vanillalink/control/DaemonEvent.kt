/*
 * Everything that a daemon's decisions are told.
 */
package org.vanillalink.control

import org.vanillalink.configuration.EditorEvent
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.control.admission.AdmissionInput
import org.vanillalink.dispatch.path.PathEvent
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.DispatchEvent
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.groups.DomainEvent
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.membership.ReportDelta
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Host
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterEvent

/** An event for [DaemonControl]. */
sealed interface DaemonEvent {
    /** Time passed; due ten times a second. */
    data object Tick : DaemonEvent

    /** The platform's host list was read. */
    data class HostsListed(
        val hosts: List<Host>,
    ) : DaemonEvent

    /** A target itself gave a report. */
    data class ReportReceived(
        val received: ReceivedReport,
    ) : DaemonEvent

    /** A peer of the failure domain shared reports. */
    data class ReportsShared(
        val delta: ReportDelta,
    ) : DaemonEvent

    /** [peer] has the reports up to [change]. */
    data class ReportsAcknowledged(
        val peer: DaemonId,
        val change: Long,
    ) : DaemonEvent

    /** News for the membership rules. */
    data class ForMembership(
        val event: MembershipEvent,
    ) : DaemonEvent

    /** An answer for the control of the failure domain. */
    data class ForDomain(
        val event: DomainEvent,
    ) : DaemonEvent

    /** An answer for this daemon's copy of the configuration. */
    data class ForReplica(
        val event: ReplicaEvent,
    ) : DaemonEvent

    /** An edit, or an answer for one in progress. */
    data class ForEditor(
        val event: EditorEvent,
    ) : DaemonEvent

    /** A request, or news of its attempts. */
    data class ForRouter(
        val event: RouterEvent,
    ) : DaemonEvent

    /** A model request arrived; [fingerprint] is the same for each of its resends. */
    data class ModelCallArrived(
        val fingerprint: CallFingerprint,
        val arrival: RouterEvent.RequestArrived,
    ) : DaemonEvent

    /** What happened to a stream of an answer, or to a probe. */
    data class ForPath(
        val event: PathEvent,
    ) : DaemonEvent

    /** A message about permits to run a suspect request. */
    data class ForPoison(
        val event: PoisonEvent,
    ) : DaemonEvent

    /** A call with an idempotency key arrived; [arrival] is for the router once the call may be sent. */
    data class KeyedCallArrived(
        val call: KeyedCall,
        val arrival: RouterEvent.RequestArrived,
    ) : DaemonEvent

    /** A target answered a keyed call whole. */
    data class KeyedCallAnswered(
        val finished: RouterEvent.AttemptFinished,
        val outcome: CallOutcome,
    ) : DaemonEvent

    /** An answer for the records of keyed calls. */
    data class ForDispatch(
        val event: DispatchEvent,
    ) : DaemonEvent

    /** This daemon closed the connection of an attempt that has no outcome yet. */
    data class AttemptClosed(
        val request: RequestId,
        val attempt: Int,
    ) : DaemonEvent

    /** News for admission. */
    data class ForAdmission(
        val input: AdmissionInput,
    ) : DaemonEvent

    /** The daemon takes no new requests and finishes those in progress. */
    data object DrainingStarted : DaemonEvent

    /** All requests are finished, or the drain's time is over. */
    data object ShuttingDown : DaemonEvent
}
