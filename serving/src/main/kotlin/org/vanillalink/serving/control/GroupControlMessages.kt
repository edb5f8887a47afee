/*
 * Events and decisions of the control of one failure domain's serving groups.
 */
package org.vanillalink.serving.control

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.catalog.EngineDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

/** What the controller looks at: the failure domain's model targets and the engine's figures. */
data class DomainView(
    /** Part of groups' names, which must differ between failure domains. */
    val failureDomain: FailureDomainId,
    val entries: Map<HostId, TargetEntry>,
    /** Entries that are no longer listed, as they last stood. */
    val removedEntries: Map<HostId, TargetEntry>,
    val engine: EngineDefinition,
    /** Over how many failure domains the weight store's allowance is divided. */
    val failureDomainCount: Int,
    /** Whether requests have come; before that, loads from the weight store are cheap and not limited. */
    val hasTraffic: Boolean,
    /** The places that callers ask for at once, by model, as far as they fall to this failure domain. */
    val demand: Map<String, Double> = emptyMap(),
)

/** Something that happened. */
sealed interface GroupEvent {
    /** Time has passed, or the view has changed. */
    data class Tick(
        val view: DomainView,
    ) : GroupEvent

    /** A daemon has seen all work of a group stand still. */
    data class GroupSuspected(
        val key: GroupKey,
        val view: DomainView,
    ) : GroupEvent

    /** An order was answered, or not. */
    data class OrderAnswered(
        val target: HostId,
        val order: GroupOrder,
        val result: OrderResult,
    ) : GroupEvent

    /** A target was asked for its report. */
    data class ReportAnswered(
        val target: HostId,
        val result: ReportResult,
    ) : GroupEvent
}

/** Something to do. */
sealed interface GroupDecision {
    /** Give [target] an order. */
    data class Send(
        val target: TargetEntry,
        val order: GroupOrder,
    ) : GroupDecision

    /** Ask [target] for its report. */
    data class RequestReport(
        val target: TargetEntry,
    ) : GroupDecision

    /** Write down that the controller changed its mind about something, and why. */
    data class LogEvent(
        val event: String,
        val fields: Map<String, Any?>,
    ) : GroupDecision
}
