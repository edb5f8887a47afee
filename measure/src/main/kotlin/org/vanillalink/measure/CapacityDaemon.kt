/*
 * One daemon of the capacity model: its real decisions, carried out over a counted network.
 */
package org.vanillalink.measure

import arrow.core.getOrElse
import arrow.core.right
import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.configuration.SectionChanges
import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.groups.ControlEvent
import org.vanillalink.groups.ControllerEvent
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.DomainEvent
import org.vanillalink.groups.GroupSettings
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.Heartbeat
import org.vanillalink.membership.HeartbeatAnswer
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.membership.ReportDelta
import org.vanillalink.model.Endpoint
import org.vanillalink.model.RequestId
import org.vanillalink.model.TargetReport
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.RouterEvent
import org.vanillalink.store.http.HostsResponse
import org.vanillalink.transport.Json
import org.vanillalink.transport.read
import java.time.Duration

internal class CapacityDaemon(
    val identity: DaemonIdentity,
    seeds: List<Endpoint>,
    private val model: CapacityModel,
) {
    private val scenario = model.scenario
    private val control =
        DaemonControl(identity, seeds, scenario.now, GroupSettings(maxConcurrentWeightLoads = ALL_AT_ONCE))
    private var requests = 0

    /** Nanoseconds of processor time that this daemon's decisions took. */
    var deciding = 0L
    private var asker: CapacityDaemon? = null

    fun servingGroups(): Int = control.servingState.servingGroups(CapacityModel.SERVICE).size

    fun knownPeers(): Int = control.membershipState.peers.size

    fun start() {
        scenario.after(Duration.ofMillis(scenario.random.nextLong(TICK.toMillis()))) {
            scenario.every(TICK) { handle(DaemonEvent.Tick) }
            scenario.every(HOSTS_INTERVAL) { readHosts() }
            val rate = model.shape.requestsPerSecond
            if (rate > 0) scenario.every(CapacityModel.interval(rate.toDouble())) { arrive() }
        }
    }

    private fun handle(event: DaemonEvent) {
        model.deciding(this) { control.handle(event, scenario.now) }.forEach { carryOut(it) }
    }

    private fun carryOut(decision: DaemonDecision) {
        when (decision) {
            is DaemonDecision.FetchReport -> fetch(decision)
            is DaemonDecision.ShareReports -> share(decision)
            is DaemonDecision.ForMembership -> carryOut(decision.decision)
            is DaemonDecision.ForDomain -> carryOut(decision.decision)
            is DaemonDecision.ForReplica -> carryOut(decision.decision)
            is DaemonDecision.StartAttempt -> attempt(decision)
            else -> Unit
        }
    }

    private fun arrive() {
        val request = RequestId("${identity.daemon}-${requests++}")
        val deadline = scenario.now.plus(DEADLINE)
        val arrived = RouterEvent.RequestArrived(request, CapacityModel.SERVICE, WorkspaceId("w"), deadline)
        handle(DaemonEvent.ForRouter(arrived))
    }

    private fun attempt(decision: DaemonDecision.StartAttempt) = scenario.after(SERVICE_TIME) {
        val finished = RouterEvent.AttemptFinished(decision.request, decision.attempt, SERVICE_TIME)
        handle(DaemonEvent.ForRouter(finished))
    }

    private fun readHosts() {
        model.outside(TrafficKind.HOST_LIST, model.hostList.size + HTTP_BYTES_PER_CALL)
        val listed = model.coding { Json.read<HostsResponse>(model.hostList) }
        handle(DaemonEvent.HostsListed(listed.getOrElse { error(it.detail) }.hosts))
    }

    private fun fetch(decision: DaemonDecision.FetchReport) {
        val askedAt = scenario.now
        val body = Json.write(model.target(decision.host).report())
        model.outside(TrafficKind.REPORT_FETCHING, body.size + HTTP_BYTES_PER_CALL)
        scenario.after(NEAR) {
            val report = decode<TargetReport>(body)
            handle(DaemonEvent.ReportReceived(ReceivedReport(report, askedAt)))
        }
    }

    private fun share(decision: DaemonDecision.ShareReports) {
        val peer = model.at(decision.endpoint)
        val body = encode(TrafficKind.REPORT_SHARING, decision.delta)
        val change = decision.delta.change
        model.betweenDaemons(TrafficKind.REPORT_SHARING, HTTP_BYTES_PER_CALL + ACKNOWLEDGEMENT_BYTES)
        scenario.after(NEAR) {
            peer.handle(DaemonEvent.ReportsShared(decode<ReportDelta>(body)))
            scenario.after(NEAR) { handle(DaemonEvent.ReportsAcknowledged(decision.peer, change)) }
        }
    }

    private fun carryOut(decision: MembershipDecision) {
        when (decision) {
            is MembershipDecision.SendHeartbeat -> send(decision)
            is MembershipDecision.AnswerHeartbeat -> asker?.let { answer(it, decision.answer) }
            else -> Unit
        }
    }

    private fun send(decision: MembershipDecision.SendHeartbeat) {
        val peer = model.at(decision.endpoint)
        val body = encode(TrafficKind.HEARTBEAT, decision.heartbeat)
        model.betweenDaemons(TrafficKind.HEARTBEAT, HTTP_BYTES_PER_CALL)
        scenario.after(pathTo(peer)) { peer.receive(decode(body), this) }
    }

    private fun receive(
        heartbeat: Heartbeat,
        from: CapacityDaemon,
    ) {
        asker = from
        handle(DaemonEvent.ForMembership(MembershipEvent.HeartbeatReceived(heartbeat)))
        asker = null
    }

    private fun answer(
        to: CapacityDaemon,
        answer: HeartbeatAnswer,
    ) {
        val body = encode(TrafficKind.HEARTBEAT, answer)
        scenario.after(pathTo(to)) {
            to.handle(DaemonEvent.ForMembership(MembershipEvent.HeartbeatAnswered(decode(body))))
        }
    }

    private fun carryOut(decision: ReplicaDecision) {
        when (decision) {
            is ReplicaDecision.ReadRows -> {
                afterTable {
                    val answer = CapacityTable(model).read(decision.keys)
                    handle(DaemonEvent.ForReplica(ReplicaEvent.RowsRead(decision.keys, answer)))
                }
            }

            is ReplicaDecision.QueryPeer -> {
                val peer = model.named(decision.peer)
                model.betweenDaemons(TrafficKind.CONFIGURATION, HTTP_BYTES_PER_CALL)
                scenario.after(pathTo(peer)) { peer.answerConfiguration(this, decision.afterRevision) }
            }

            else -> {
                Unit
            }
        }
    }

    private fun answerConfiguration(
        to: CapacityDaemon,
        afterRevision: Long,
    ) {
        val state = control.replicaState
        val changes = state.inForce?.set?.changesAfter(afterRevision)
        val age = state.age(scenario.now)
        val body = changes?.let { encode(TrafficKind.CONFIGURATION, it) }
        scenario.after(pathTo(to)) {
            val known = body?.let { decode<SectionChanges>(it) }
            to.handle(DaemonEvent.ForReplica(ReplicaEvent.PeerQueryCompleted(identity.daemon, known, age)))
        }
    }

    private fun carryOut(decision: DomainDecision) {
        val table = CapacityTable(model)
        when (decision) {
            is DomainDecision.ReadControlRow -> {
                tellAfterTable {
                    ControlEvent.ControlRowRead(table.read(setOf(decision.key)).map { it[decision.key] })
                }
            }

            is DomainDecision.Transact -> {
                tellAfterTable {
                    ControlEvent.TransactionFinished(decision.write, table.transact(decision.writes))
                }
            }

            is DomainDecision.ScanRows -> {
                tellAfterTable { ControllerEvent.RowsScanned(table.scan(decision.prefix)) }
            }

            is DomainDecision.ReadRows -> {
                tellAfterTable { ControllerEvent.RowsRead(decision.keys, table.read(decision.keys)) }
            }

            is DomainDecision.SendOrder -> {
                model.target(decision.host).take(decision)
                scenario.after(NEAR) { tell(ControllerEvent.OrderAnswered(decision.host, Unit.right())) }
            }

            else -> {
                Unit
            }
        }
    }

    private fun tellAfterTable(event: () -> DomainEvent) = afterTable { tell(event()) }

    private fun afterTable(action: () -> Unit) = scenario.after(TABLE, action)

    private fun tell(event: DomainEvent) = handle(DaemonEvent.ForDomain(event))

    private fun encode(
        kind: TrafficKind,
        message: Any,
    ): ByteArray = model.coding { Json.write(message) }.also { model.betweenDaemons(kind, it.size) }

    private inline fun <reified Message> decode(body: ByteArray): Message =
        model.coding { Json.read<Message>(body) }.getOrElse { error(it.detail) }

    private fun pathTo(other: CapacityDaemon): Duration =
        if (other.identity.failureDomain == identity.failureDomain) NEAR else FAR

    private companion object {
        const val ALL_AT_ONCE = 1_000
        const val ACKNOWLEDGEMENT_BYTES = 14
        val TICK: Duration = Duration.ofMillis(100)
        val HOSTS_INTERVAL: Duration = Duration.ofSeconds(1)
        val NEAR: Duration = Duration.ofMillis(1)
        val FAR: Duration = Duration.ofMillis(15)
        val TABLE: Duration = Duration.ofMillis(8)
        val DEADLINE: Duration = Duration.ofSeconds(30)
        val SERVICE_TIME: Duration = Duration.ofSeconds(1)
    }
}
