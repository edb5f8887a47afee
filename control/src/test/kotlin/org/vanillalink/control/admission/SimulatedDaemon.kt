/*
 * One daemon of a joined domain: its decisions, carried out against the domain's engines, table and other daemons.
 */
package org.vanillalink.control.admission

import arrow.core.left
import arrow.core.right
import org.vanillalink.configuration.ReplicaDecision
import org.vanillalink.configuration.ReplicaEvent
import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.groups.ControlEvent
import org.vanillalink.groups.ControllerEvent
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.DomainEvent
import org.vanillalink.groups.OrderFailure
import org.vanillalink.groups.ReceivedReport
import org.vanillalink.groups.TargetOrder
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.membership.MembershipEvent
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import org.vanillalink.routing.RouterDecision
import org.vanillalink.routing.RouterEvent
import java.time.Duration

internal class SimulatedDaemon(
    val id: DaemonId,
    port: Int,
    private val domain: SimulatedDomain,
) {
    private val endpoint = Endpoint("10.0.0.2", port)
    private val running = HashMap<DaemonDecision.StartAttempt, HostId>()
    private var starts = 0
    lateinit var control: DaemonControl
        private set
    var isUp = false
        private set
    var answered = 0
        private set
    var refused = 0
        private set
    val runningAttemptCount: Int get() = running.size

    fun start() {
        val identity =
            DaemonIdentity(
                id,
                BootId("$id-${++starts}"),
                FailureDomainId(SimulatedDomain.DOMAIN),
                DaemonEndpoints(endpoint, endpoint, endpoint),
            )
        running.clear()
        control = DaemonControl(identity, (1..3).map { Endpoint("10.0.0.2", 1_000 + it) }, domain.scenario.now)
        isUp = true
    }

    fun die() {
        isUp = false
    }

    fun request(name: String) = feed(
        DaemonEvent.ForRouter(
            RouterEvent.RequestArrived(
                RequestId(name),
                ServiceName(SimulatedDomain.SERVICE),
                WorkspaceId("w"),
                domain.scenario.now.plus(DEADLINE),
            ),
        ),
    )

    fun feed(event: DaemonEvent) {
        if (isUp) control.handle(event, domain.scenario.now).forEach { execute(it) }
    }

    /** Runs [action] after a link delay, unless this run has ended by then. */
    private fun afterDelay(action: () -> Unit) {
        val run = starts
        domain.scenario.after(domain.delay()) { if (isUp && run == starts) action() }
    }

    private fun sendToPeer(
        peer: DaemonId,
        action: (SimulatedDaemon) -> Unit,
    ) = domain.scenario.after(domain.delay()) { domain.daemons[peer]?.takeIf { it.isUp }?.let(action) }

    private fun execute(decision: DaemonDecision) {
        when (decision) {
            is DaemonDecision.FetchReport -> {
                fetch(decision.host)
            }

            is DaemonDecision.ShareReports -> {
                share(decision)
            }

            is DaemonDecision.ForMembership -> {
                (decision.decision as? MembershipDecision.SendHeartbeat)?.let(
                    ::heartbeat,
                )
            }

            is DaemonDecision.ForDomain -> {
                afterDelay { execute(decision.decision) }
            }

            is DaemonDecision.ForReplica -> {
                afterDelay { execute(decision.decision) }
            }

            is DaemonDecision.ForAdmission -> {
                execute(decision.task)
            }

            is DaemonDecision.StartAttempt -> {
                send(decision)
            }

            is DaemonDecision.ForRouter -> {
                execute(decision.decision)
            }

            is DaemonDecision.EndAttempts -> {
                endAttempts(decision.host)
            }

            is DaemonDecision.Record -> {
                domain.scenario.note("$id ${decision.name} ${decision.fields}")
            }

            else -> {
                Unit
            }
        }
    }

    private fun fetch(host: HostId) = afterDelay {
        val report = domain.engines.getValue(host).report()
        val requestedAt = domain.scenario.now
        afterDelay { feed(DaemonEvent.ReportReceived(ReceivedReport(report, requestedAt))) }
    }

    private fun share(decision: DaemonDecision.ShareReports) = sendToPeer(decision.peer) { peer ->
        peer.feed(DaemonEvent.ReportsShared(decision.delta))
        afterDelay { feed(DaemonEvent.ReportsAcknowledged(decision.peer, decision.delta.change)) }
    }

    private fun heartbeat(decision: MembershipDecision.SendHeartbeat) {
        val peer = domain.daemons.values.firstOrNull { it.endpoint == decision.endpoint }
        domain.scenario.after(domain.delay()) {
            if (peer == null || !peer.isUp) return@after feed(failed(decision))
            val received = DaemonEvent.ForMembership(MembershipEvent.HeartbeatReceived(decision.heartbeat))
            peer.control.handle(received, domain.scenario.now).forEach { answer ->
                val membership = (answer as? DaemonDecision.ForMembership)?.decision
                if (membership is MembershipDecision.AnswerHeartbeat) {
                    afterDelay { feed(DaemonEvent.ForMembership(MembershipEvent.HeartbeatAnswered(membership.answer))) }
                } else {
                    peer.execute(answer)
                }
            }
        }
    }

    private fun failed(decision: MembershipDecision.SendHeartbeat) =
        DaemonEvent.ForMembership(MembershipEvent.HeartbeatFailed(decision.endpoint))

    private fun execute(decision: DomainDecision) {
        val table = domain.table
        when (decision) {
            is DomainDecision.ReadControlRow -> {
                val answer = table.readNow(setOf(decision.key)).map { it[decision.key] }
                deliverDomainEvent(ControlEvent.ControlRowRead(answer))
            }

            is DomainDecision.Transact -> {
                deliverDomainEvent(ControlEvent.TransactionFinished(decision.write, table.transactNow(decision.writes)))
            }

            is DomainDecision.ScanRows -> {
                deliverDomainEvent(ControllerEvent.RowsScanned(table.scanNow(decision.prefix)))
            }

            is DomainDecision.ReadRows -> {
                deliverDomainEvent(ControllerEvent.RowsRead(decision.keys, table.readNow(decision.keys)))
            }

            is DomainDecision.SendOrder -> {
                order(decision)
            }

            else -> {
                Unit
            }
        }
    }

    private fun deliverDomainEvent(event: DomainEvent) = afterDelay { feed(DaemonEvent.ForDomain(event)) }

    private fun order(decision: DomainDecision.SendOrder) {
        val engine = domain.engines.getValue(decision.host)
        val taken = engine.fence(decision.fencingNumber)
        if (taken) {
            when (val order = decision.order) {
                is TargetOrder.Load -> engine.load(order.assignment)
                TargetOrder.Release -> engine.load(null)
                is TargetOrder.Fence -> Unit
            }
        }
        val answer = if (taken) Unit.right() else OrderFailure.Fenced(engine.report().highestFencingNumber).left()
        deliverDomainEvent(ControllerEvent.OrderAnswered(decision.host, answer))
    }

    private fun execute(decision: ReplicaDecision) {
        if (decision !is ReplicaDecision.ReadRows) return
        val event = ReplicaEvent.RowsRead(decision.keys, domain.table.readNow(decision.keys))
        afterDelay { feed(DaemonEvent.ForReplica(event)) }
    }

    private fun execute(task: AdmissionTask) {
        when (task) {
            is AdmissionTask.SendToOwner -> {
                sendToPeer(
                    task.owner,
                ) { it.feed(DaemonEvent.ForAdmission(AdmissionInput.MessageForOwner(task.message))) }
            }

            is AdmissionTask.SendToHolder -> {
                val input = AdmissionInput.MessageForHolder(task.holder.boot, task.message)
                sendToPeer(task.holder.daemon) { it.feed(DaemonEvent.ForAdmission(input)) }
            }

            is AdmissionTask.RequestReport -> {
                afterDelay {
                    val report = domain.engines.getValue(task.host).report()
                    answer(AdmissionInput.ReportAnswered(report, task.queryNumber, task.requester))
                }
            }

            is AdmissionTask.OrderFence -> {
                afterDelay { domain.engines.getValue(task.host).fence(task.fencingNumber) }
            }

            is AdmissionTask.ScanInstances -> {
                afterDelay {
                    val rows = domain.table.scanNow(task.prefix)
                    val control = domain.table.readNow(setOf(task.controlKey)).map { it[task.controlKey] }
                    answer(AdmissionInput.InstancesScanned(task.scan, rows, control))
                }
            }

            is AdmissionTask.WriteInstances -> {
                afterDelay {
                    answer(
                        AdmissionInput.InstancesWritten(task.writes, domain.table.transactNow(task.writes)),
                    )
                }
            }
        }
    }

    private fun answer(input: AdmissionInput) = afterDelay { feed(DaemonEvent.ForAdmission(input)) }

    private fun send(start: DaemonDecision.StartAttempt) {
        val known =
            control.servingState.reports.byHost[start.target.host]
                ?.report
        running[start] = start.target.host
        afterDelay {
            if (start !in running) return@afterDelay
            val attempt = AttemptIds.create(start.request, start.attempt)
            val run = starts
            domain.engines.getValue(start.target.host).run(attempt, start.target, known) { ended ->
                if (run == starts) ended(start, ended)
            }
        }
    }

    private fun ended(
        start: DaemonDecision.StartAttempt,
        answer: EngineResult,
    ) {
        if (!isUp || running.remove(start) == null) return
        val event =
            when (answer) {
                EngineResult.COMPLETED -> RouterEvent.AttemptFinished(start.request, start.attempt, SERVICE_TIME)
                EngineResult.REFUSED -> RouterEvent.AttemptFailed(start.request, start.attempt, mayHaveRun = false)
                EngineResult.FAILED -> broken(start)
            }
        feed(DaemonEvent.ForRouter(event))
    }

    private fun broken(start: DaemonDecision.StartAttempt) =
        RouterEvent.AttemptFailed(start.request, start.attempt, mayHaveRun = true, executionEnded = false)

    private fun endAttempts(host: HostId) = running.filterValues { it == host }.keys.toList().forEach { start ->
        running.remove(start)
        feed(DaemonEvent.ForRouter(broken(start)))
    }

    private fun execute(decision: RouterDecision) {
        when (decision) {
            is RouterDecision.AnswerRequest -> {
                answered++
            }

            is RouterDecision.RefuseRequest -> {
                refused++
            }

            is RouterDecision.CancelAttempt -> {
                running.keys.removeIf { it.request == decision.request && it.attempt == decision.attempt }
                feed(DaemonEvent.AttemptClosed(decision.request, decision.attempt))
            }

            else -> {
                Unit
            }
        }
    }

    private companion object {
        val DEADLINE: Duration = Duration.ofSeconds(10)
        val SERVICE_TIME: Duration = Duration.ofMillis(800)
    }
}
