/*
 * What the parts of a daemon's decisions tell each other.
 *
 * The parts don't know each other. Each puts its news into the step in progress, and [DaemonControl] passes them on
 * until none are left.
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

/** News of one part for the others. */
internal sealed interface LocalEvent {
    /** From now on [document] is to be worked by. */
    data class ConfigurationInForce(
        val document: ConfigurationDocument,
        val source: RevisionSource,
    ) : LocalEvent

    /** What this daemon tells its peers about itself may have changed. */
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

    /** Peers told something about the configuration. */
    data class ForReplica(
        val event: ReplicaEvent,
    ) : LocalEvent

    /** The platform listed [hosts]. */
    data class HostsListed(
        val hosts: Map<HostId, Host>,
    ) : LocalEvent

    /** A target's report is known, from the target itself or from a peer. */
    data class ReportUpdated(
        val received: ReceivedReport,
    ) : LocalEvent

    /** A request ran on a target that was lost here. */
    data class StrikeAdded(
        val strike: Strike,
    ) : LocalEvent

    /** Another daemon made [strike]. */
    data class StrikeReceived(
        val strike: Strike,
    ) : LocalEvent

    /** The failure domain's daemons that are heard of. */
    data class ActiveDaemonsChanged(
        val daemons: Set<DaemonId>,
    ) : LocalEvent

    /** A group stopped serving because of a process that is lost or silent; its attempts ran at [ranAt]. */
    data class MemberLost(
        val loss: TargetInstance,
        val ranAt: TargetInstance,
    ) : LocalEvent

    /** Which targets may be used, or what they bear, may have changed. */
    data object ServingChanged : LocalEvent

    /** The units that this daemon may use have changed. */
    data object UnitsChanged : LocalEvent

    /** What other failure domains offer, or what a target showed of an attempt. */
    data class ForRouter(
        val event: RouterEvent,
    ) : LocalEvent

    /** This daemon controls its failure domain, which offers [services]. */
    data class ServicesAggregated(
        val services: Map<ServiceName, ServiceAggregate>,
        val fencingNumber: FencingNumber,
    ) : LocalEvent
}

/** One event's way through the parts. */
internal class ProcessingStep(
    val now: Instant,
) {
    private val pending = ArrayDeque<LocalEvent>()

    /** What has to be done, in order. */
    val decisions = mutableListOf<DaemonDecision>()

    fun addDecision(decision: DaemonDecision) {
        decisions.add(decision)
    }

    fun publish(event: LocalEvent) {
        pending.addLast(event)
    }

    /** The next news that nobody was told yet. */
    fun nextEvent(): LocalEvent? = pending.removeFirstOrNull()
}
