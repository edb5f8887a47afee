/*
 * A complete daemon of a simulated site: [DaemonControl], with each of its decisions executed over the simulated links.
 */
package org.vanillalink.control.simulation

import arrow.core.Either
import arrow.core.left
import org.vanillalink.configuration.ConfigurationEdit
import org.vanillalink.configuration.EditResult
import org.vanillalink.configuration.EditorDecision
import org.vanillalink.configuration.EditorEvent
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
import org.vanillalink.groups.OrderFailure
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.Heartbeat
import org.vanillalink.membership.HeartbeatAnswer
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import java.time.Duration

internal class SimulatedDaemon(
    val id: DaemonId,
    val failureDomain: FailureDomainId,
    val endpoint: Endpoint,
    val site: SimulatedSite,
) {
    private val scenario = site.scenario
    private val admission = AdmissionTaskExecutor(this, site)
    private val suspendedActions = mutableListOf<() -> Unit>()
    private var starts = 0
    private var heartbeatAnswer: HeartbeatAnswer? = null
    private val edits = mutableListOf<Pair<ConfigurationEdit, (EditResult) -> Unit>>()
    lateinit var control: DaemonControl
        private set
    lateinit var calls: DaemonCalls
        private set
    var isAlive = false
        private set
    var isPaused = false
        private set

    /** The revisions that came into force since the start, in order. */
    val revisions = mutableListOf<Long>()

    /** The hosts whose attempts were ended because their groups stopped serving. */
    val hostsWithEndedAttempts = mutableSetOf<HostId>()

    fun start() {
        starts++
        isAlive = true
        isPaused = false
        suspendedActions.clear()
        revisions.clear()
        val endpoints = DaemonEndpoints(endpoint, endpoint, endpoint)
        val identity = DaemonIdentity(id, BootId("$id-$starts"), failureDomain, endpoints)
        control = DaemonControl(identity, site.daemons.map { it.endpoint } - endpoint, scenario.now)
        calls = DaemonCalls(this)
        repeatWhileUp(TICK) { feed(DaemonEvent.Tick) }
        repeatWhileUp(HOSTS_INTERVAL) {
            site.platform.readHosts(id.value) { hosts -> deliver(DaemonEvent.HostsListed(hosts)) }
        }
    }

    fun kill() {
        isAlive = false
        calls.dropAll()
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        val waiting = suspendedActions.toList()
        suspendedActions.clear()
        waiting.forEach { it() }
    }

    fun edit(
        edit: ConfigurationEdit,
        answered: (EditResult) -> Unit = {},
    ) = whenAwake {
        edits.add(edit to answered)
        feed(DaemonEvent.ForEditor(EditorEvent.EditRequested(edit)))
    }

    /** Runs [action] now or after the pause; drops it if this process ends first. */
    fun whenAwake(action: () -> Unit) {
        val process = starts
        val sameProcess = { if (isAlive && starts == process) action() }
        if (isPaused) suspendedActions.add(sameProcess) else sameProcess()
    }

    fun deliver(event: DaemonEvent) = whenAwake { feed(event) }

    @Suppress("TooGenericExceptionCaught")
    fun feed(event: DaemonEvent) {
        val decisions =
            try {
                control.handle(event, scenario.now)
            } catch (fault: Exception) {
                throw AssertionError("$id failed at $event [seed=${scenario.seed}]", fault)
            }
        decisions.forEach(::execute)
    }

    private fun repeatWhileUp(
        period: Duration,
        action: () -> Unit,
    ) {
        val process = starts
        scenario.after(period) {
            if (isAlive && starts == process) {
                if (!isPaused) action()
                repeatWhileUp(period, action)
            }
        }
    }

    private fun execute(decision: DaemonDecision) {
        when (decision) {
            is DaemonDecision.FetchReport -> {
                fetchReport(decision)
            }

            is DaemonDecision.ShareReports -> {
                share(decision)
            }

            is DaemonDecision.ForMembership -> {
                execute(decision.decision)
            }

            is DaemonDecision.ForDomain -> {
                execute(decision.decision)
            }

            is DaemonDecision.ForReplica -> {
                execute(decision.decision)
            }

            is DaemonDecision.ForEditor -> {
                execute(decision.decision)
            }

            is DaemonDecision.StartAttempt -> {
                calls.startAttempt(decision)
            }

            is DaemonDecision.ForDispatch -> {
                calls.execute(decision.decision)
            }

            is DaemonDecision.ForRouter -> {
                calls.execute(decision.decision)
            }

            is DaemonDecision.ForAdmission -> {
                admission.execute(decision.task)
            }

            // Requests here have no fingerprints and streams no connections; other tests cover these two.
            is DaemonDecision.ForPoison, is DaemonDecision.ForPath -> {
                Unit
            }

            is DaemonDecision.EndAttempts -> {
                hostsWithEndedAttempts.add(decision.host)
                calls.endAttemptsAt(decision.host)
            }

            is DaemonDecision.ConfigurationChanged -> {
                revisions.add(decision.revision)
            }

            is DaemonDecision.Record -> {
                scenario.note("$id ${decision.name} ${decision.fields}")
            }
        }
    }

    private fun fetchReport(decision: DaemonDecision.FetchReport) {
        val target = site.target(decision.host)
        val requestedAt = scenario.now
        site.network.ask<TargetReport>(id.value, decision.host.value, { answer ->
            target.whenAwake { answer(target.report()) }
        }) { it?.let { report -> deliver(DaemonEvent.ReportReceived(ReceivedReport(report, requestedAt))) } }
    }

    private fun share(decision: DaemonDecision.ShareReports) {
        val peer = site.daemonAt(decision.endpoint)
        site.network.ask<Long>(id.value, peer.id.value, { answer ->
            peer.whenAwake {
                peer.feed(DaemonEvent.ReportsShared(decision.delta))
                answer(decision.delta.change)
            }
        }) { it?.let { change -> deliver(DaemonEvent.ReportsAcknowledged(decision.peer, change)) } }
    }

    private fun execute(decision: MembershipDecision) {
        when (decision) {
            is MembershipDecision.SendHeartbeat -> send(decision)
            is MembershipDecision.AnswerHeartbeat -> heartbeatAnswer = decision.answer
            else -> Unit
        }
    }

    private fun send(decision: MembershipDecision.SendHeartbeat) {
        val peer = site.daemonAt(decision.endpoint)
        site.network.ask<HeartbeatAnswer>(id.value, peer.id.value, { answer ->
            peer.whenAwake { peer.receive(decision.heartbeat)?.let(answer) }
        }) { answer ->
            val failed = MembershipEvent.HeartbeatFailed(decision.endpoint)
            deliver(DaemonEvent.ForMembership(answer?.let { MembershipEvent.HeartbeatAnswered(it) } ?: failed))
        }
    }

    private fun receive(heartbeat: Heartbeat): HeartbeatAnswer? {
        heartbeatAnswer = null
        feed(DaemonEvent.ForMembership(MembershipEvent.HeartbeatReceived(heartbeat)))
        return heartbeatAnswer
    }

    private fun execute(decision: DomainDecision) {
        val platform = site.platform
        when (decision) {
            is DomainDecision.ReadControlRow -> {
                platform.read(id.value, setOf(decision.key)) { answer ->
                    deliverDomainEvent(ControlEvent.ControlRowRead(answer.map { it[decision.key] }))
                }
            }

            is DomainDecision.Transact -> {
                platform.transact(id.value, decision.writes) {
                    deliverDomainEvent(ControlEvent.TransactionFinished(decision.write, it))
                }
            }

            is DomainDecision.ScanRows -> {
                platform.scan(id.value, decision.prefix) { deliverDomainEvent(ControllerEvent.RowsScanned(it)) }
            }

            is DomainDecision.ReadRows -> {
                platform.read(
                    id.value,
                    decision.keys,
                ) { deliverDomainEvent(ControllerEvent.RowsRead(decision.keys, it)) }
            }

            is DomainDecision.SendOrder -> {
                order(decision)
            }

            else -> {
                Unit
            }
        }
    }

    private fun order(decision: DomainDecision.SendOrder) {
        val target = site.target(decision.host)
        site.network.ask<Either<OrderFailure, Unit>>(id.value, decision.host.value, { answer ->
            target.whenAwake { answer(target.take(decision)) }
        }) { deliverDomainEvent(ControllerEvent.OrderAnswered(decision.host, it ?: OrderFailure.Unreachable.left())) }
    }

    private fun execute(decision: ReplicaDecision) {
        when (decision) {
            is ReplicaDecision.ReadRows -> {
                site.platform.read(id.value, decision.keys) {
                    deliver(DaemonEvent.ForReplica(ReplicaEvent.RowsRead(decision.keys, it)))
                }
            }

            is ReplicaDecision.QueryPeer -> {
                requestConfiguration(decision)
            }

            else -> {
                Unit
            }
        }
    }

    private fun requestConfiguration(decision: ReplicaDecision.QueryPeer) {
        val peer = site.daemon(decision.peer.value)
        site.network.ask<Pair<SectionChanges?, Duration?>>(id.value, peer.id.value, { answer ->
            peer.whenAwake {
                val state = peer.control.replicaState
                answer(state.inForce?.set?.changesAfter(decision.afterRevision) to state.age(scenario.now))
            }
        }) { deliver(DaemonEvent.ForReplica(ReplicaEvent.PeerQueryCompleted(decision.peer, it?.first, it?.second))) }
    }

    private fun execute(decision: EditorDecision) {
        when (decision) {
            is EditorDecision.ReadRows -> {
                site.platform.read(id.value, decision.keys) {
                    deliver(DaemonEvent.ForEditor(EditorEvent.RowsRead(decision.edit, it)))
                }
            }

            is EditorDecision.Transact -> {
                site.platform.transact(id.value, decision.writes) {
                    deliver(DaemonEvent.ForEditor(EditorEvent.TransactionCompleted(decision.edit, it)))
                }
            }

            is EditorDecision.CompleteEdit -> {
                val waiting = edits.filter { it.first == decision.edit }
                edits.removeAll(waiting)
                waiting.forEach { (_, answered) -> answered(decision.result) }
            }
        }
    }

    private fun deliverDomainEvent(event: DomainEvent) = deliver(DaemonEvent.ForDomain(event))

    private companion object {
        val TICK: Duration = Duration.ofMillis(100)
        val HOSTS_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
