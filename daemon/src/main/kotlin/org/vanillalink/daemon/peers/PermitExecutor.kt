/*
 * Messages between a failure domain's daemons about permits to run requests that may crash their targets.
 */
package org.vanillalink.daemon.peers

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.daemon.control.ControlThread
import org.vanillalink.daemon.control.DecisionExecutor
import org.vanillalink.daemon.operators.answerJson
import org.vanillalink.dispatch.poison.Permit
import org.vanillalink.dispatch.poison.PoisonDecision
import org.vanillalink.dispatch.poison.PoisonEvent
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.RequestId
import org.vanillalink.transport.ResponseWriter

/** `POST /peer/permits`: asks for [permit] to run [request], or gives it back where that is null. */
data class PermitMessage(
    val request: RequestId?,
    val permit: Permit,
)

/** Answer to [PermitMessage]; a permit that was given back is never [granted]. */
data class PermitAnswer(
    val granted: Boolean,
)

/**
 * [endpointOf] gives a peer's endpoint for messages between daemons; [isWanted] tells whether this daemon holds a
 * permit, or asked for it, again.
 */
class PermitExecutor(
    private val loop: ControlLoop,
    private val thread: ControlThread,
    private val client: PeerClient,
    private val endpointOf: (DaemonId) -> Endpoint?,
    private val isWanted: (Permit) -> Boolean,
) : DecisionExecutor {
    private class Unreturned(
        val owner: DaemonId,
        val permit: Permit,
    )

    /** Where the answer to the message that is being handled goes. */
    private var waiting: ResponseWriter? = null
    private val unreturned = ArrayDeque<Unreturned>()

    /** Handles a peer's [message]; from any thread. */
    fun receive(
        message: PermitMessage,
        answer: ResponseWriter,
    ) = thread.execute {
        val request = message.request
        if (request == null) {
            loop.handle(DaemonEvent.ForPoison(PoisonEvent.PermitReturned(message.permit)))
            answer.answerJson(PermitAnswer(granted = false))
        } else {
            waiting = answer
            loop.handle(DaemonEvent.ForPoison(PoisonEvent.PermitRequested(request, message.permit)))
            waiting = null
        }
    }

    override fun execute(decision: DaemonDecision) {
        when (val wanted = (decision as? DaemonDecision.ForPoison)?.decision) {
            is PoisonDecision.RequestPermit -> ask(wanted)
            is PoisonDecision.SendPermitResponse -> waiting?.answerJson(PermitAnswer(wanted.isGranted))
            is PoisonDecision.ReturnPermit -> giveBack(Unreturned(wanted.owner, wanted.permit))
            else -> Unit
        }
    }

    /** Tries again to give back what its owner couldn't be told; on the control thread. */
    fun giveBackAgain() = repeat(unreturned.size) {
        val next = unreturned.removeFirst()
        if (!isWanted(next.permit)) giveBack(next)
    }

    private fun ask(wanted: PoisonDecision.RequestPermit) {
        val endpoint = endpointOf(wanted.owner)
        if (endpoint == null) {
            answered(wanted.request, granted = false)
            return
        }
        val message = PermitMessage(wanted.request, wanted.permit)
        client.post(endpoint, PeerProtocol.PERMITS_PATH, message, PermitAnswer::class.java).thenAccept { answer ->
            // The owner may have granted it although its answer was lost.
            if (answer.isLeft()) thread.execute { giveBack(Unreturned(wanted.owner, wanted.permit)) }
            answered(wanted.request, answer.fold({ false }, { it.granted }))
        }
    }

    private fun answered(
        request: RequestId,
        granted: Boolean,
    ) = loop.tell(DaemonEvent.ForPoison(PoisonEvent.PermitResponseReceived(request, granted)))

    private fun giveBack(wanted: Unreturned) {
        val endpoint = endpointOf(wanted.owner)
        if (endpoint == null) {
            unreturned.addLast(wanted)
            return
        }
        val message = PermitMessage(null, wanted.permit)
        client.post(endpoint, PeerProtocol.PERMITS_PATH, message, PermitAnswer::class.java).thenAccept { answer ->
            if (answer.isLeft()) thread.execute { unreturned.addLast(wanted) }
        }
    }
}
