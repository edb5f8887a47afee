/*
 * Events between the components of one daemon's decision logic.
 *
 * The components do not depend on each other. Each publishes its events to the current [ProcessingStep], and
 * [DaemonControl] delivers them until none are left.
 */
package org.vanillalink.control

import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.configuration.RevisionSource
import org.vanillalink.dispatch.poison.Strike
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.ServiceAggregate
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Host
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent
import java.time.Instant

/** An event from one component for the others. */
internal sealed interface LocalEvent {
    /** [document] is in force from now on. */
    data class ConfigurationInForce(
        val document: ConfigurationDocument,
        val source: RevisionSource,
    ) : LocalEvent

    /** The state that this daemon announces to its peers may have changed. */
    data class LocalStateChanged(
        val urgent: Boolean,
    ) : LocalEvent

    /** This daemon controls its failure domain with [fencingNumber]. */
    data class ControlGained(
        val fencingNumber: FencingNumber,
    ) : LocalEvent

    /** A peer knows [number] for this failure domain. */
    data class FencingNumberReceived(
        val number: FencingNumber,
    ) : LocalEvent

    /** An event for the configuration replica from membership. */
    data class ForReplica(
        val event: ReplicaEvent,
    ) : LocalEvent

    /** The platform listed [hosts]. */
    data class HostsListed(
        val hosts: Map<HostId, Host>,
    ) : LocalEvent

    /** A target's report was received, from the target itself or from a peer. */
    data class ReportUpdated(
        val received: ReceivedReport,
    ) : LocalEvent

    /** A request ran on a target that was lost in this failure domain. */
    data class StrikeAdded(
        val strike: Strike,
    ) : LocalEvent

    /** Another daemon recorded [strike]. */
    data class StrikeReceived(
        val strike: Strike,
    ) : LocalEvent

    /** The failure domain's active daemons have changed. */
    data class ActiveDaemonsChanged(
        val daemons: Set<DaemonId>,
    ) : LocalEvent

    /** A group stopped serving because a process was lost or became unresponsive; its attempts ran on [executedOn]. */
    data class MemberLost(
        val loss: TargetInstance,
        val ranAt: TargetInstance,
    ) : LocalEvent

    /** The usable targets or their capacity may have changed. */
    data object ServingChanged : LocalEvent

    /** The units that this daemon may use have changed. */
    data object UnitsChanged : LocalEvent

    /** The capacity of another failure domain, or the end of an attempt that a target has reported. */
    data class ForRouter(
        val event: RouterEvent,
    ) : LocalEvent

    /** This daemon controls its failure domain, which offers [services]. */
    data class ServicesAggregated(
        val services: Map<ServiceName, ServiceAggregate>,
        val fencingNumber: FencingNumber,
    ) : LocalEvent
}

/** Processes one event: collects its decisions and the events to deliver. */
internal class ProcessingStep(
    val now: Instant,
) {
    private val pending = ArrayDeque<LocalEvent>()

    /** The decisions to execute, in order. */
    val decisions = mutableListOf<DaemonDecision>()

    fun addDecision(decision: DaemonDecision) {
        decisions.add(decision)
    }

    fun publish(event: LocalEvent) {
        pending.addLast(event)
    }

    /** Returns the next event to deliver, or null if there is none. */
    fun nextEvent(): LocalEvent? = pending.removeFirstOrNull()
}
