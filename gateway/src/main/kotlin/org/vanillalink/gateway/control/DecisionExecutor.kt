/*
 * Executes the decisions of a failure domain's group controller and reports their outcomes.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.GroupControlMetrics
import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.serving.control.GroupEvent
import org.vanillalink.serving.targets.TargetEntry

/**
 * Logs [recentLoopDelay] with each event, and calls [onTargetResponse] on [controlThread], with the term in which the
 * decision was made.
 */
internal class DecisionExecutor(
    private val targets: TargetControl,
    private val controlThread: ControlThread,
    private val eventLogger: EventLogger,
    private val groupControlMetrics: GroupControlMetrics,
    private val recentLoopDelay: () -> Long,
    private val onTargetResponse: (domain: DomainControl, term: Long, target: TargetEntry, event: GroupEvent) -> Unit,
) {
    fun execute(
        domain: DomainControl,
        decisions: List<GroupDecision>,
    ) = decisions.forEach { decision ->
        when (decision) {
            is GroupDecision.LogEvent -> logEvent(domain, decision)
            is GroupDecision.Send -> sendOrder(domain, decision)
            is GroupDecision.RequestReport -> requestReport(domain, decision)
        }
    }

    private fun logEvent(
        domain: DomainControl,
        note: GroupDecision.LogEvent,
    ) {
        groupControlMetrics.record(note.event, note.fields)
        eventLogger.record(
            note.event,
            note.fields + ("failureDomain" to domain.failureDomain) + ("term" to domain.term) +
                ("loopDelayMs" to recentLoopDelay()),
        )
    }

    private fun sendOrder(
        domain: DomainControl,
        decision: GroupDecision.Send,
    ) {
        val term = domain.term
        val target = decision.target
        targets.sendOrder(target, decision.order).thenAccept { result ->
            controlThread.execute {
                eventLogger.record(
                    "order",
                    "target" to target.id,
                    "order" to decision.order,
                    "result" to result,
                    "term" to term,
                )
                onTargetResponse(domain, term, target, GroupEvent.OrderAnswered(target.id, decision.order, result))
            }
        }
    }

    private fun requestReport(
        domain: DomainControl,
        decision: GroupDecision.RequestReport,
    ) {
        val term = domain.term
        val target = decision.target
        targets.requestReport(target).thenAccept { result ->
            controlThread.execute {
                onTargetResponse(domain, term, target, GroupEvent.ReportAnswered(target.id, result))
            }
        }
    }
}
