/*
 * Carries out what admission wants done: messages between daemons, questions to targets, rows of runs.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.control.admission.AdmissionInput
import org.vanillalink.control.admission.AdmissionTask
import org.vanillalink.daemon.peers.AdmissionEnvelope
import org.vanillalink.daemon.peers.AdmissionReceipt
import org.vanillalink.daemon.peers.PeerClient
import org.vanillalink.daemon.peers.PeerProtocol
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.store.TableStore
import org.vanillalink.targets.OrderKind
import org.vanillalink.targets.OrderMessage
import org.vanillalink.targets.TargetClient
import org.vanillalink.transport.ConnectionPolicy

/** Where daemons take messages and targets listen; null for one that isn't known. */
class EndpointDirectory(
    val ofPeer: (DaemonId) -> Endpoint?,
    val ofTarget: (HostId) -> Endpoint?,
)

/** A message that doesn't arrive is sent again by admission itself, so nothing here tries twice. */
class AdmissionExecutor(
    private val loop: ControlLoop,
    private val table: TableStore,
    private val targets: TargetClient,
    private val peers: PeerClient,
    private val endpoints: EndpointDirectory,
) : DecisionExecutor {
    override fun execute(decision: DaemonDecision) {
        val task = (decision as? DaemonDecision.ForAdmission)?.task ?: return
        when (task) {
            is AdmissionTask.SendToOwner -> send(task.owner, AdmissionEnvelope.of(task.message))
            is AdmissionTask.SendToHolder -> send(task.holder.daemon, AdmissionEnvelope.of(task.holder, task.message))
            is AdmissionTask.RequestReport -> ask(task)
            is AdmissionTask.OrderFence -> fence(task)
            is AdmissionTask.ScanInstances -> scan(task)
            is AdmissionTask.WriteInstances -> write(task)
        }
    }

    private fun send(
        daemon: DaemonId,
        envelope: AdmissionEnvelope,
    ) {
        val endpoint = endpoints.ofPeer(daemon) ?: return
        peers.post(endpoint, PeerProtocol.ADMISSION_PATH, envelope, AdmissionReceipt::class.java)
    }

    /** On a fresh connection: an old one may have gone silent for good. */
    private fun ask(task: AdmissionTask.RequestReport) {
        val endpoint = endpoints.ofTarget(task.host) ?: return
        targets.fetchReport(endpoint, ConnectionPolicy.NEW).thenAccept { answer ->
            answer.onRight { report ->
                val own = report.host == task.host
                if (own) tell(AdmissionInput.ReportAnswered(report, task.queryNumber, task.requester))
            }
        }
    }

    private fun fence(task: AdmissionTask.OrderFence) {
        val endpoint = endpoints.ofTarget(task.host) ?: return
        targets.sendOrder(endpoint, OrderMessage(task.fencingNumber, OrderKind.FENCE))
    }

    private fun scan(task: AdmissionTask.ScanInstances) {
        table.scan(task.prefix).thenAccept { rows ->
            table.read(setOf(task.controlKey)).thenAccept { read ->
                tell(AdmissionInput.InstancesScanned(task.scan, rows, read.map { it[task.controlKey] }))
            }
        }
    }

    private fun write(task: AdmissionTask.WriteInstances) {
        table.transact(task.writes).thenAccept { tell(AdmissionInput.InstancesWritten(task.writes, it)) }
    }

    private fun tell(input: AdmissionInput) = loop.tell(DaemonEvent.ForAdmission(input))
}
