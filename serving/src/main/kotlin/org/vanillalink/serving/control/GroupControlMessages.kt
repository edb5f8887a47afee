/*
 * Events and decisions of the controller of one failure domain's serving groups.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

/** The controller's view of its failure domain: the targets of the service and the settings of the engine. */
data class DomainView(
    /** Part of the groups' names, which must differ between failure domains. */
    val failureDomain: FailureDomainId,
    val entries: Map<HostId, TargetEntry>,
    /** The last state of entries that were removed recently. */
    val removedEntries: Map<HostId, TargetEntry>,
    val engine: EngineDefinition,
    /** The number of failure domains that share the weight store's load limit. */
    val failureDomainCount: Int,
    /** Whether any request has arrived; before that, loads from the weight store are fast and not limited. */
    val hasTraffic: Boolean,
    /** The slots that callers need at once, by model: the share of this failure domain. */
    val demand: Map<String, Double> = emptyMap(),
    /** How long callers of the service wait for the next event of a stream. */
    val callerPatienceMilliseconds: Long = 2_000,
    /** Models that other failure domains have groups of. */
    val modelsElsewhere: Set<String> = emptySet(),
)

/** Input of the controller. */
sealed interface GroupEvent {
    /** Periodic evaluation of the current view. */
    data class Tick(
        val view: DomainView,
    ) : GroupEvent

    /** A daemon reports that a group is stalled. */
    data class GroupSuspected(
        val key: GroupKey,
        val view: DomainView,
    ) : GroupEvent

    /** The outcome of an order to a target. */
    data class OrderAnswered(
        val target: HostId,
        val order: GroupOrder,
        val result: OrderResult,
    ) : GroupEvent

    /** The outcome of a report request to a target. */
    data class ReportAnswered(
        val target: HostId,
        val result: ReportResult,
    ) : GroupEvent
}

/** An action that the caller of the controller carries out. */
sealed interface GroupDecision {
    /** Sends [order] to [target]. */
    data class Send(
        val target: TargetEntry,
        val order: GroupOrder,
    ) : GroupDecision

    /** Requests a report from [target]. */
    data class RequestReport(
        val target: TargetEntry,
    ) : GroupDecision

    /** Logs a change of the controller's state and the reason for it. */
    data class LogEvent(
        val event: String,
        val fields: Map<String, Any?>,
    ) : GroupDecision
}
