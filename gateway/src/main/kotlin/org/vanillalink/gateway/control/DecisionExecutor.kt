/*
 * Carries out what the controller of a failure domain's groups decides, and brings back what came of it.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.serving.control.GroupDecision
import org.vanillalink.serving.control.GroupEvent
import org.vanillalink.serving.targets.TargetEntry

/** Tells [answered] on [thread], with the term in which the decision was taken. */
internal class DecisionExecutor(
    private val targets: TargetControl,
    private val thread: ControlThread,
    private val lines: EventLines,
    private val answered: (domain: DomainControl, term: Long, target: TargetEntry, event: GroupEvent) -> Unit,
) {
    fun carryOut(
        domain: DomainControl,
        decisions: List<GroupDecision>,
    ) = decisions.forEach { decision ->
        when (decision) {
            is GroupDecision.LogEvent -> note(domain, decision)
            is GroupDecision.Send -> send(domain, decision)
            is GroupDecision.RequestReport -> ask(domain, decision)
        }
    }

    private fun note(
        domain: DomainControl,
        note: GroupDecision.LogEvent,
    ) = lines.record(
        note.event,
        note.fields + ("failureDomain" to domain.failureDomain) + ("term" to domain.term),
    )

    private fun send(
        domain: DomainControl,
        decision: GroupDecision.Send,
    ) {
        val term = domain.term
        val target = decision.target
        targets.order(target, decision.order).thenAccept { result ->
            thread.execute {
                lines.record(
                    "order",
                    "target" to target.id,
                    "order" to decision.order,
                    "result" to result,
                    "term" to term,
                )
                answered(domain, term, target, GroupEvent.OrderAnswered(target.id, decision.order, result))
            }
        }
    }

    private fun ask(
        domain: DomainControl,
        decision: GroupDecision.RequestReport,
    ) {
        val term = domain.term
        val target = decision.target
        targets.report(target).thenAccept { result ->
            thread.execute { answered(domain, term, target, GroupEvent.ReportAnswered(target.id, result)) }
        }
    }
}
