/*
 * Carries out what admission wants done in a joined scenario: messages between daemons, questions, rows of runs.
 */
package org.vanillalink.control.simulation

import org.vanillalink.control.DaemonEvent
import org.vanillalink.control.admission.AdmissionInput
import org.vanillalink.control.admission.AdmissionTask
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.TargetOrder
import org.vanillalink.model.DaemonId
import org.vanillalink.model.TargetReport

internal class AdmissionTaskExecutor(
    private val daemon: SimulatedDaemon,
    private val site: SimulatedSite,
) {
    fun execute(task: AdmissionTask) {
        when (task) {
            is AdmissionTask.SendToOwner -> send(task.owner, AdmissionInput.MessageForOwner(task.message))
            is AdmissionTask.SendToHolder -> sendToHolder(task)
            is AdmissionTask.RequestReport -> requestReport(task)
            is AdmissionTask.OrderFence -> fence(task)
            is AdmissionTask.ScanInstances -> scan(task)
            is AdmissionTask.WriteInstances -> write(task)
        }
    }

    private fun sendToHolder(task: AdmissionTask.SendToHolder) =
        send(task.holder.daemon, AdmissionInput.MessageForHolder(task.holder.boot, task.message))

    private fun send(
        to: DaemonId,
        input: AdmissionInput,
    ) {
        val peer = site.daemon(to.value)
        site.network.ask<Unit>(daemon.id.value, to.value, { answer ->
            peer.whenAwake {
                peer.feed(DaemonEvent.ForAdmission(input))
                answer(Unit)
            }
        }) { }
    }

    private fun requestReport(task: AdmissionTask.RequestReport) {
        val target = site.target(task.host)
        site.network.ask<TargetReport>(daemon.id.value, task.host.value, { answer ->
            target.whenAwake { answer(target.report()) }
        }) {
            it?.let { report ->
                deliver(AdmissionInput.ReportAnswered(report, task.queryNumber, task.requester))
            }
        }
    }

    private fun fence(task: AdmissionTask.OrderFence) {
        val target = site.target(task.host)
        val order =
            DomainDecision.SendOrder(
                task.host,
                task.fencingNumber,
                TargetOrder.Fence(task.fencingNumber),
            )
        site.network.ask<Unit>(daemon.id.value, task.host.value, { answer ->
            target.whenAwake {
                target.take(order)
                answer(Unit)
            }
        }) { }
    }

    private fun scan(task: AdmissionTask.ScanInstances) {
        site.platform.scan(daemon.id.value, task.prefix) { rows ->
            site.platform.read(daemon.id.value, setOf(task.controlKey)) { read ->
                deliver(AdmissionInput.InstancesScanned(task.scan, rows, read.map { it[task.controlKey] }))
            }
        }
    }

    private fun write(task: AdmissionTask.WriteInstances) {
        site.platform.transact(daemon.id.value, task.writes) {
            deliver(AdmissionInput.InstancesWritten(task.writes, it))
        }
    }

    private fun deliver(input: AdmissionInput) = daemon.deliver(DaemonEvent.ForAdmission(input))
}
