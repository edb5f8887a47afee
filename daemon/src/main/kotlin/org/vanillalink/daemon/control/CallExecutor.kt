/*
 * Carries out decisions on requests.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.AttemptTarget
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.metrics.CallMetrics
import org.vanillalink.daemon.metrics.TimedAnswerWriter
import org.vanillalink.daemon.traffic.ActiveCall
import org.vanillalink.daemon.traffic.ActiveCalls
import org.vanillalink.daemon.traffic.CallEvents
import org.vanillalink.daemon.traffic.ForwardTarget
import org.vanillalink.daemon.traffic.KeyedPlainCall
import org.vanillalink.daemon.traffic.attemptId
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.targets.TargetClient
import org.vanillalink.transport.ResponseWriter
import java.time.Clock
import java.time.Duration

/** [forwardTargetOf] gives where a peer takes requests that are passed on. */
class CallExecutor(
    private val loop: ControlLoop,
    private val thread: ControlThread,
    private val targets: TargetClient,
    private val calls: ActiveCalls,
    private val observer: CallObserver,
    private val metrics: CallMetrics,
    private val clock: Clock,
    private val forwardTargetOf: (DaemonId) -> ForwardTarget?,
) : DecisionExecutor,
    CallEvents {
    override fun arrived(
        call: ActiveCall,
        event: RouterEvent.RequestArrived,
    ) = arrived(call, event, DaemonEvent.ForRouter(event))

    override fun modelCallArrived(
        call: ActiveCall,
        fingerprint: CallFingerprint,
        event: RouterEvent.RequestArrived,
    ) = arrived(call, event, DaemonEvent.ModelCallArrived(fingerprint, event))

    override fun keyedCallArrived(
        call: ActiveCall,
        keyed: KeyedCall,
        event: RouterEvent.RequestArrived,
    ) = arrived(call, event, DaemonEvent.KeyedCallArrived(keyed, event))

    private fun arrived(
        call: ActiveCall,
        arrival: RouterEvent.RequestArrived,
        event: DaemonEvent,
    ) = thread.execute {
        calls.add(call)
        observer.arrived(arrival)
        loop.handle(event)
    }

    override fun keyedCallAnswered(
        finished: RouterEvent.AttemptFinished,
        outcome: CallOutcome,
    ) = loop.tell(DaemonEvent.KeyedCallAnswered(finished, outcome))

    override fun happened(event: RouterEvent) = thread.execute {
        if (event is RouterEvent.RequestCancelled) cancelled(event) else loop.handle(DaemonEvent.ForRouter(event))
    }

    override fun refusedAtEntry(
        request: RequestId,
        refusal: Refusal,
        forwarded: Boolean,
    ) = observer.refusedAtEntry(request, refusal, forwarded)

    override fun forwardedArrived(
        request: RequestId,
        forwardingAttempt: String,
    ) = observer.forwardedArrived(request, forwardingAttempt)

    override fun timed(
        service: ServiceName,
        answer: ResponseWriter,
    ): ResponseWriter {
        val startedAt = clock.instant()
        return TimedAnswerWriter(answer) { metrics.firstByte(service, Duration.between(startedAt, clock.instant())) }
    }

    /** Where the work may go on, the target is told to end it, so that its admission unit comes free. */
    override fun attemptFailed(
        event: RouterEvent.AttemptFailed,
        target: AttemptTarget?,
    ) {
        happened(event)
        if (!event.executionEnded && target != null) cancel(event.request, event.attempt, target)
    }

    override fun execute(decision: DaemonDecision) {
        when (decision) {
            is DaemonDecision.StartAttempt -> {
                start(decision)
            }

            is DaemonDecision.EndAttempts -> {
                calls.all.forEach { it.endAttemptAt(decision.host) }
            }

            is DaemonDecision.ForRouter -> {
                executeFor(decision.decision)
            }

            else -> {
                Unit
            }
        }
    }

    private fun start(decision: DaemonDecision.StartAttempt) {
        observer.attemptStarted(decision)
        calls[decision.request]?.start(decision.attempt, decision.target)
    }

    private fun executeFor(decision: RouterDecision) {
        when (decision) {
            is RouterDecision.AnswerRequest -> {
                observer.answered(decision.request)
                calls.remove(decision.request)?.complete()
            }

            is RouterDecision.RefuseRequest -> {
                observer.refused(decision.request, decision.refusal)
                calls.remove(decision.request)?.refuse(decision.refusal)
            }

            is RouterDecision.ForwardRequest -> {
                forward(decision)
            }

            is RouterDecision.CancelAttempt -> {
                stop(decision)
            }

            else -> {
                Unit
            }
        }
    }

    private fun forward(decision: RouterDecision.ForwardRequest) {
        val target = forwardTargetOf(decision.daemon)
        if (target == null) {
            val failed = RouterEvent.AttemptFailed(decision.request, decision.attempt, mayHaveRun = false)
            loop.tell(DaemonEvent.ForRouter(failed))
            return
        }
        observer.forwarded(decision)
        calls[decision.request]?.forward(decision.attempt, target)
    }

    /** A keyed call runs to its end also when nobody waits for it. */
    private fun stop(decision: RouterDecision.CancelAttempt) {
        val call = calls[decision.request]?.takeIf { it !is KeyedPlainCall } ?: return
        val target = call.stopAttempt()
        loop.tell(DaemonEvent.AttemptClosed(decision.request, decision.attempt))
        target?.let { cancel(decision.request, decision.attempt, it) }
    }

    /** The attempt's connection closes. A keyed call goes on: its outcome is kept for the caller's resend. */
    private fun cancelled(event: RouterEvent.RequestCancelled) {
        val call = calls[event.request] ?: return
        if (call is KeyedPlainCall) return
        observer.cancelled(event.request)
        loop.handle(DaemonEvent.ForRouter(event))
        calls.remove(event.request)?.stopAttempt()
    }

    private fun cancel(
        request: RequestId,
        attempt: Int,
        target: AttemptTarget,
    ) {
        targets.cancelAttempt(target.endpoint, attemptId(request, attempt)).thenAccept { answer ->
            answer.onRight { happened(RouterEvent.AttemptExecutionEnded(request, attempt)) }
        }
    }
}
