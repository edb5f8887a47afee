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
enum class ReportAsker { OWNER, HOLDER }

/** Something that admission wants done. */
sealed interface AdmissionWork {
    /** Send [message] to the daemon [owner], once; admission sends it again where needed. */
    data class SendToOwner(
        val owner: DaemonId,
        val message: MessageToOwner,
    ) : AdmissionWork

    /** Send [message] to [holder], once. */
    data class SendToHolder(
        val holder: Holder,
        val message: MessageToHolder,
    ) : AdmissionWork

    /** Ask [host]'s target for a report on a fresh connection; feed [AdmissionNews.ReportAnswered] if it answers. */
    data class AskReport(
        val host: HostId,
        val question: Long,
        val asker: ReportAsker,
    ) : AdmissionWork

    /** Order [host]'s target to take [fencingNumber]; its reports show whether it did. */
    data class OrderFence(
        val host: HostId,
        val fencingNumber: FencingNumber,
    ) : AdmissionWork

    /**
     * Scan the rows that start with [prefix], read the row [control] after that, and feed [AdmissionNews.RunsScanned]
     * with the same [scan].
     */
    data class ScanRuns(
        val scan: Long,
        val prefix: String,
        val control: RowKey,
    ) : AdmissionWork

    /** Apply [writes] in one transaction and feed [AdmissionNews.RunsWritten]. */
    data class WriteRuns(
        val writes: List<ConditionalWrite>,
    ) : AdmissionWork
}

/** Something that admission is told. */
sealed interface AdmissionNews {
    /** [message] arrived for the owner of the units. */
    data class ForOwner(
        val message: MessageToOwner,
    ) : AdmissionNews

    /** [message] arrived for the run [boot] of this daemon. */
    data class ForHolder(
        val boot: BootId,
        val message: MessageToHolder,
    ) : AdmissionNews

    /** A target answered [AdmissionWork.AskReport] with the same [question]. */
    data class ReportAnswered(
        val report: TargetReport,
        val question: Long,
        val asker: ReportAsker,
    ) : AdmissionNews

    /** The answer to [AdmissionWork.ScanRuns] with the same [scan]; [control] is null where that row doesn't exist. */
    data class RunsScanned(
        val scan: Long,
        val rows: Either<StoreFailure, Map<RowKey, Row>>,
        val control: Either<StoreFailure, Row?>,
    ) : AdmissionNews

    /** The answer to [AdmissionWork.WriteRuns]. */
    data class RunsWritten(
        val writes: List<ConditionalWrite>,
        val answer: Either<StoreFailure, TransactionResult>,
    ) : AdmissionNews
}
