/*
 * Carries out decisions that concern other daemons.
 */
package org.vanillalink.daemon.peers

import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.daemon.control.ControlThread
import org.vanillalink.daemon.control.DecisionExecutor
import org.vanillalink.daemon.operators.answerJson
import org.vanillalink.membership.Heartbeat
import org.vanillalink.membership.HeartbeatAnswer
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.ResponseWriter
import java.time.Duration

/** [endpointOf] gives a peer's endpoint for messages between daemons. */
class PeerExecutor(
    private val loop: ControlLoop,
    private val thread: ControlThread,
    private val client: PeerClient,
    private val endpointOf: (DaemonId) -> Endpoint?,
) : DecisionExecutor {
    /** Where the answer to the heartbeat that is being handled goes. */
    private var waiting: ResponseWriter? = null

    /** Handles a peer's [heartbeat]; from any thread. */
    fun receive(
        heartbeat: Heartbeat,
        answer: ResponseWriter,
    ) = thread.execute {
        waiting = answer
        loop.handle(DaemonEvent.ForMembership(MembershipEvent.HeartbeatReceived(heartbeat)))
        waiting = null
    }

    override fun execute(decision: DaemonDecision) {
        when (decision) {
            is DaemonDecision.ForMembership -> executeFor(decision.decision)
            is DaemonDecision.ShareReports -> share(decision)
            is DaemonDecision.ForReplica -> (decision.decision as? ReplicaDecision.QueryPeer)?.let(::askConfiguration)
            else -> Unit
        }
    }

    private fun executeFor(decision: MembershipDecision) {
        when (decision) {
            is MembershipDecision.SendHeartbeat -> send(decision)
            is MembershipDecision.AnswerHeartbeat -> waiting?.answerJson(decision.answer)
            else -> Unit
        }
    }

    private fun send(decision: MembershipDecision.SendHeartbeat) {
        val sent =
            client.post(
                decision.endpoint,
                PeerProtocol.HEARTBEAT_PATH,
                decision.heartbeat,
                HeartbeatAnswer::class.java,
            )
        sent.thenAccept { answer ->
            val event =
                answer.fold(
                    { MembershipEvent.HeartbeatFailed(decision.endpoint) },
                    { MembershipEvent.HeartbeatAnswered(it) },
                )
            loop.tell(DaemonEvent.ForMembership(event))
        }
    }

    private fun share(decision: DaemonDecision.ShareReports) {
        client
            .post(decision.endpoint, PeerProtocol.REPORTS_PATH, decision.delta, ReportsAnswer::class.java)
            .thenAccept { answer ->
                answer.onRight { loop.tell(DaemonEvent.ReportsAcknowledged(decision.peer, it.change)) }
            }
    }

    private fun askConfiguration(decision: ReplicaDecision.QueryPeer) {
        val endpoint = endpointOf(decision.peer)
        if (endpoint == null) {
            tell(ReplicaEvent.PeerQueryCompleted(decision.peer, null, null))
            return
        }
        val path = "${PeerProtocol.CONFIGURATION_PATH}?after=${decision.afterRevision}"
        client.get(endpoint, path, ConfigurationChangesAnswer::class.java).thenAccept { answer ->
            val changes = answer.getOrNull()
            val age = changes?.confirmedAgeMilliseconds?.let(Duration::ofMillis)
            tell(ReplicaEvent.PeerQueryCompleted(decision.peer, changes?.changes, age))
        }
    }

    private fun tell(event: ReplicaEvent) = loop.tell(DaemonEvent.ForReplica(event))
}
