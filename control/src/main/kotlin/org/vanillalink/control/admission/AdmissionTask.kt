/*
 * What admission asks to be done, and what it is told of it.
 */
package org.vanillalink.control.admission

import arrow.core.Either
import org.vanillalink.admission.Holder
import org.vanillalink.admission.MessageToHolder
import org.vanillalink.admission.MessageToOwner
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetReport
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult

/** Who asked a target for a report: the owner of the units, or a holder of some. */
enum class ReportRequester { OWNER, HOLDER }

/** Something that admission wants done. */
sealed interface AdmissionTask {
    /** Send [message] to the daemon [owner], once; admission sends it again where needed. */
    data class SendToOwner(
        val owner: DaemonId,
        val message: MessageToOwner,
    ) : AdmissionTask

    /** Send [message] to [holder], once. */
    data class SendToHolder(
        val holder: Holder,
        val message: MessageToHolder,
    ) : AdmissionTask

    /** Ask [host]'s target for a report on a fresh connection; feed [AdmissionInput.ReportAnswered] if it answers. */
    data class RequestReport(
        val host: HostId,
        val queryNumber: Long,
        val requester: ReportRequester,
    ) : AdmissionTask

    /** Order [host]'s target to take [fencingNumber]; its reports show whether it did. */
    data class OrderFence(
        val host: HostId,
        val fencingNumber: FencingNumber,
    ) : AdmissionTask

    /**
     * Scan the rows that start with [prefix], read the row [controlKey] after that, and feed
     * [AdmissionInput.InstancesScanned] with the same [scan].
     */
    data class ScanInstances(
        val scan: Long,
        val prefix: String,
        val controlKey: RowKey,
    ) : AdmissionTask

    /** Apply [writes] in one transaction and feed [AdmissionInput.InstancesWritten]. */
    data class WriteInstances(
        val writes: List<ConditionalWrite>,
    ) : AdmissionTask
}

/** Something that admission is told. */
sealed interface AdmissionInput {
    /** [message] arrived for the owner of the units. */
    data class MessageForOwner(
        val message: MessageToOwner,
    ) : AdmissionInput

    /** [message] arrived for the run [boot] of this daemon. */
    data class MessageForHolder(
        val boot: BootId,
        val message: MessageToHolder,
    ) : AdmissionInput

    /** A target answered [AdmissionTask.RequestReport] with the same [queryNumber]. */
    data class ReportAnswered(
        val report: TargetReport,
        val queryNumber: Long,
        val requester: ReportRequester,
    ) : AdmissionInput

    /**
     * The result of [AdmissionTask.ScanInstances] with the same [scan]; [controlRow] is null where that row
     * does not exist.
     */
    data class InstancesScanned(
        val scan: Long,
        val rows: Either<StoreFailure, Map<RowKey, Row>>,
        val controlRow: Either<StoreFailure, Row?>,
    ) : AdmissionInput

    /** The answer to [AdmissionTask.WriteInstances]. */
    data class InstancesWritten(
        val writes: List<ConditionalWrite>,
        val result: Either<StoreFailure, TransactionResult>,
    ) : AdmissionInput
}
