/*
 * Messages between the controller of a failure domain, which owns the units, and the holders of loans.
 *
 * Each message may be lost, delayed, duplicated or reordered. The number of units that a holder keeps never grows, so
 * the smallest number received is the current one.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import java.time.Duration

/** A message to the controller; [fencingNumber] is the controller's as far as the sender knows. */
sealed interface MessageToOwner {
    val holder: Holder
    val fencingNumber: FencingNumber

    /** Requests up to [units] units of [target]. */
    data class Borrow(
        val loan: LoanId,
        val target: HostId,
        val units: Int,
        override val fencingNumber: FencingNumber,
    ) : MessageToOwner {
        override val holder get() = loan.holder
    }

    /** The holder keeps only [kept] units of [loan], each with an attempt in use, and uses no others. */
    data class Return(
        val loan: LoanId,
        val target: HostId,
        val kept: Int,
        override val fencingNumber: FencingNumber,
    ) : MessageToOwner {
        override val holder get() = loan.holder
    }

    /**
     * The holder uses no unit of a controller before [fencingNumber] except for the attempts [inUse], by target.
     * Targets that aren't listed have none.
     */
    data class Holdings(
        override val holder: Holder,
        override val fencingNumber: FencingNumber,
        val inUse: Map<HostId, Set<AttemptId>>,
    ) : MessageToOwner
}

/** A message to a holder; [owner] controls the failure domain under [fencingNumber]. */
sealed interface MessageToHolder {
    val owner: DaemonId
    val fencingNumber: FencingNumber

    /**
     * Lends [units] units of [target] in its [boot] for [duration]. The decision is based on the report
     * with number [sequence], after which the target's bound was [bound]; [cold] tells whether it was cold.
     */
    data class Grant(
        override val owner: DaemonId,
        override val fencingNumber: FencingNumber,
        val loan: LoanId,
        val target: HostId,
        val boot: BootId,
        val units: Int,
        val duration: Duration,
        val sequence: Long,
        val bound: Int,
        val cold: Boolean,
    ) : MessageToHolder

    /** Lends nothing; units may be available after [retryAfter]. */
    data class Refuse(
        override val owner: DaemonId,
        override val fencingNumber: FencingNumber,
        val loan: LoanId,
        val target: HostId,
        val retryAfter: Duration,
    ) : MessageToHolder

    /** Requests the return of all unused units of [loan]. */
    data class Recall(
        override val owner: DaemonId,
        override val fencingNumber: FencingNumber,
        val loan: LoanId,
        val target: HostId,
    ) : MessageToHolder

    /** A [MessageToOwner.Return] with [kept] was received. */
    data class ReturnAcknowledged(
        override val owner: DaemonId,
        override val fencingNumber: FencingNumber,
        val loan: LoanId,
        val target: HostId,
        val kept: Int,
    ) : MessageToHolder

    /** A [MessageToOwner.Holdings] with [inUse] was received. */
    data class HoldingsAcknowledged(
        override val owner: DaemonId,
        override val fencingNumber: FencingNumber,
        val inUse: Map<HostId, Set<AttemptId>>,
    ) : MessageToHolder
}
