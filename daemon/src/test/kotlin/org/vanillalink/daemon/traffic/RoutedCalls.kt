/*
 * Joins calls with the real router, without the rest of the control.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.Router
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import org.vanillalink.routing.RouterState
import org.vanillalink.transport.ResponseWriter
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors

internal class RoutedCalls :
    CallEvents,
    AutoCloseable {
    val endpoints = ConcurrentHashMap<HostId, Endpoint>()
    private val thread = Executors.newSingleThreadExecutor()
    private val router = Router()
    private val state = RouterState()
    private val calls = ActiveCalls()

    override fun arrived(
        call: ActiveCall,
        event: RouterEvent.RequestArrived,
    ) = thread.execute {
        calls.add(call)
        feed(event)
    }

    override fun modelCallArrived(
        call: ActiveCall,
        fingerprint: CallFingerprint,
        event: RouterEvent.RequestArrived,
    ) = arrived(call, event)

    override fun refusedAtEntry(
        request: RequestId,
        refusal: Refusal,
        forwarded: Boolean,
    ) = Unit

    override fun forwardedArrived(
        request: RequestId,
        forwardingAttempt: String,
    ) = Unit

    override fun timed(
        service: ServiceName,
        answer: ResponseWriter,
    ): ResponseWriter = answer

    override fun keyedCallArrived(
        call: ActiveCall,
        keyed: KeyedCall,
        event: RouterEvent.RequestArrived,
    ) = arrived(call, event)

    override fun keyedCallAnswered(
        finished: RouterEvent.AttemptFinished,
        outcome: CallOutcome,
    ) = happened(finished)

    override fun attemptFailed(
        event: RouterEvent.AttemptFailed,
        target: AttemptTarget?,
    ) = happened(event)

    override fun happened(event: RouterEvent) = thread.execute { feed(event) }

    fun endAttempts() = thread.execute {
        calls.all.forEach { call -> call.watched?.let { call.endAttempt(it.id) } }
    }

    override fun close() {
        thread.shutdownNow()
    }

    private fun feed(event: RouterEvent) {
        router.handle(state, event, Instant.now()).decisions.forEach(::execute)
    }

    private fun execute(decision: RouterDecision) {
        when (decision) {
            is RouterDecision.StartAttempt -> {
                val target = AttemptTarget(decision.host, endpoints.getValue(decision.host), decision.boot)
                calls[decision.request]?.start(decision.attempt, target)
            }

            is RouterDecision.AnswerRequest -> {
                calls.remove(decision.request)?.complete()
            }

            is RouterDecision.RefuseRequest -> {
                calls.remove(decision.request)?.refuse(decision.refusal)
            }

            else -> {
                Unit
            }
        }
    }
}
