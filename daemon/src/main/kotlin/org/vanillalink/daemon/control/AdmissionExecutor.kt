/*
 * Carries out what admission wants done: messages between daemons, questions to targets, rows of runs.
 */
package org.vanillalink.daemon.control

import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.control.admission.AdmissionNews
import org.vanillalink.control.admission.AdmissionWork
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
        val work = (decision as? DaemonDecision.ForAdmission)?.work ?: return
        when (work) {
            is AdmissionWork.SendToOwner -> send(work.owner, AdmissionEnvelope.of(work.message))
            is AdmissionWork.SendToHolder -> send(work.holder.daemon, AdmissionEnvelope.of(work.holder, work.message))
            is AdmissionWork.AskReport -> ask(work)
            is AdmissionWork.OrderFence -> fence(work)
            is AdmissionWork.ScanRuns -> scan(work)
            is AdmissionWork.WriteRuns -> write(work)
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
    private fun ask(work: AdmissionWork.AskReport) {
        val endpoint = endpoints.ofTarget(work.host) ?: return
        targets.fetchReport(endpoint, ConnectionPolicy.NEW).thenAccept { answer ->
            answer.onRight { report ->
                val own = report.host == work.host
                if (own) tell(AdmissionNews.ReportAnswered(report, work.question, work.asker))
            }
        }
    }

    private fun fence(work: AdmissionWork.OrderFence) {
        val endpoint = endpoints.ofTarget(work.host) ?: return
        targets.sendOrder(endpoint, OrderMessage(work.fencingNumber, OrderKind.FENCE))
    }

    private fun scan(work: AdmissionWork.ScanRuns) {
        table.scan(work.prefix).thenAccept { rows ->
            table.read(setOf(work.control)).thenAccept { read ->
                tell(AdmissionNews.RunsScanned(work.scan, rows, read.map { it[work.control] }))
            }
        }
    }

    private fun write(work: AdmissionWork.WriteRuns) {
        table.transact(work.writes).thenAccept { tell(AdmissionNews.RunsWritten(work.writes, it)) }
    }

    private fun tell(news: AdmissionNews) = loop.tell(DaemonEvent.ForAdmission(news))
}
