/*
 * One daemon of a measured fleet: its replica and membership rules, with their costs counted.
 */
package org.vanillalink.measure

import com.fasterxml.jackson.module.kotlin.readValue
import org.vanillalink.configuration.ConfigurationReplica
import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.configuration.ReplicaState
import org.vanillalink.configuration.RevisionSource
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.Heartbeat
import org.vanillalink.membership.HeartbeatAnswer
import org.vanillalink.membership.LocalState
import org.vanillalink.membership.Membership
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.membership.MembershipState
import org.vanillalink.membership.ServiceAggregate
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.ServiceName
import java.time.Duration

internal class MeasuredDaemon(
    private val index: Int,
    val identity: DaemonIdentity,
    private val fleet: MeasuredFleet,
) {
    private val scenario = fleet.scenario
    private val replicaRules = ConfigurationReplica()
    private val membershipRules = Membership()
    lateinit var replica: ReplicaState
        private set
    lateinit var membership: MembershipState
        private set

    fun start() {
        replica = ReplicaState(scenario.now, isPoller = false)
        membership = MembershipState(identity, fleet.seeds)
        val offset = Duration.ofMillis(scenario.random.nextLong(MEMBERSHIP_TICK.toMillis()))
        scenario.after(offset) {
            scenario.every(MEMBERSHIP_TICK) { feed(MembershipEvent.Tick) }
            scenario.every(REPLICA_TICK) { feed(ReplicaEvent.Tick) }
            scenario.every(SERVICES_COUNTED) { countServices() }
        }
    }

    private fun countServices() {
        if (membership.activeDaemons.first() != identity.daemon) return
        val counted = ServiceAggregate(GROUPS, scenario.random.nextInt(FREE), 0)
        feed(MembershipEvent.ServicesAggregated(mapOf(ServiceName("m") to counted), FencingNumber(1)))
    }

    private fun feed(event: ReplicaEvent) {
        val start = System.nanoTime()
        val transition = replicaRules.handle(replica, event, scenario.now)
        fleet.nanoseconds += System.nanoTime() - start
        replica = transition.state
        transition.decisions.forEach { carryOut(it) }
    }

    private fun feed(
        event: MembershipEvent,
        asker: MeasuredDaemon? = null,
    ) {
        val start = System.nanoTime()
        val transition = membershipRules.handle(membership, event, scenario.now)
        fleet.nanoseconds += System.nanoTime() - start
        membership = transition.state
        transition.decisions.forEach { carryOut(it, asker) }
    }

    private fun carryOut(decision: ReplicaDecision) {
        when (decision) {
            is ReplicaDecision.ReadRows -> read(decision)
            is ReplicaDecision.QueryPeer -> fleet.named(decision.peer).answer(this, decision.afterRevision)
            is ReplicaDecision.ConfigurationInForce -> inForce(decision)
            is ReplicaDecision.RecordTimeline -> Unit
        }
    }

    private fun read(decision: ReplicaDecision.ReadRows) {
        fleet.reads += decision.keys.size
        scenario.after(fleet.tableCall()) {
            feed(ReplicaEvent.RowsRead(decision.keys, fleet.store.readNow(decision.keys)))
            tellMembership(urgent = false)
        }
    }

    private fun inForce(decision: ReplicaDecision.ConfigurationInForce) {
        fleet.inForce(decision.revision)
        tellMembership(urgent = decision.source == RevisionSource.PLATFORM)
    }

    private fun tellMembership(urgent: Boolean) {
        val local = LocalState(replica.revision, replica.confirmedAt)
        if (local != membership.local) feed(MembershipEvent.LocalStateChanged(local, urgent))
    }

    private fun answer(
        asker: MeasuredDaemon,
        afterRevision: Long,
    ) {
        scenario.after(fleet.path(asker, this)) {
            val changes = replica.inForce?.set?.changesAfter(afterRevision)
            fleet.bytes += fleet.mapper.writeValueAsBytes(changes).size + HTTP_BYTES_PER_CALL
            fleet.messages++
            val age = replica.age(scenario.now)
            scenario.after(fleet.path(this, asker)) {
                asker.feed(ReplicaEvent.PeerQueryCompleted(identity.daemon, changes, age))
                asker.tellMembership(urgent = false)
            }
        }
    }

    private fun carryOut(
        decision: MembershipDecision,
        asker: MeasuredDaemon?,
    ) {
        when (decision) {
            is MembershipDecision.SendHeartbeat -> {
                send(decision)
            }

            is MembershipDecision.AnswerHeartbeat -> {
                asker?.let { answer(it, decision.answer) }
            }

            is MembershipDecision.RevisionReceived -> {
                feed(ReplicaEvent.PeerRevisionReceived(decision.peer, decision.revision, decision.confirmedAge))
                tellMembership(urgent = false)
            }

            is MembershipDecision.ActiveDaemonsChanged -> {
                val polls = membership.isConfigurationPoller(ConfigurationReplica.POLLERS_PER_FAILURE_DOMAIN)
                feed(ReplicaEvent.PollingRoleChanged(polls))
            }

            is MembershipDecision.FencingNumberReceived,
            is MembershipDecision.StrikeReceived,
            is MembershipDecision.RecordPeerChange,
            -> {
                Unit
            }
        }
    }

    private fun send(decision: MembershipDecision.SendHeartbeat) {
        val to = fleet.at(decision.endpoint)
        val body = encode(decision.heartbeat)
        fleet.bytes += HTTP_BYTES_PER_CALL
        scenario.after(fleet.path(this, to)) {
            to.feed(MembershipEvent.HeartbeatReceived(to.decodeHeartbeat(body)), this)
        }
    }

    private fun answer(
        asker: MeasuredDaemon,
        answer: HeartbeatAnswer,
    ) {
        val body = encode(answer)
        scenario.after(fleet.path(this, asker)) {
            asker.feed(MembershipEvent.HeartbeatAnswered(asker.decodeAnswer(body)))
        }
    }

    private fun encode(message: Any): ByteArray = timed { fleet.mapper.writeValueAsBytes(message) }.also {
        fleet.bytes += it.size
        fleet.messages++
    }

    private fun decodeHeartbeat(body: ByteArray): Heartbeat = timed { fleet.mapper.readValue<Heartbeat>(body) }

    private fun decodeAnswer(body: ByteArray): HeartbeatAnswer = timed { fleet.mapper.readValue<HeartbeatAnswer>(body) }

    private fun <Result> timed(action: () -> Result): Result {
        val start = System.nanoTime()
        val result = action()
        fleet.nanoseconds += System.nanoTime() - start
        return result
    }

    override fun toString(): String = "daemon $index"

    private companion object {
        val MEMBERSHIP_TICK: Duration = Duration.ofMillis(200)
        val REPLICA_TICK: Duration = Duration.ofMillis(500)
        val SERVICES_COUNTED: Duration = Duration.ofSeconds(5)
        const val GROUPS = 91
        const val FREE = 1_456
    }
}
