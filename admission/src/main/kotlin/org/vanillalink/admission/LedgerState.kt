/*
 * State of the units that the controller of a failure domain owns.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import java.time.Instant

/**
 * The ledger of [daemon]. It lends only while [control] is set. [registeredHolders] are the process instances that the
 * table lists, [endedHolders] those that have ended, [predecessors] those that may still use units of an earlier
 * controller, and [declaredHoldings] the units that these have declared to be in use.
 */
data class LedgerState(
    val daemon: DaemonId,
    val control: FencingNumber? = null,
    val registeredHolders: Set<Holder> = emptySet(),
    val endedHolders: Set<Holder> = emptySet(),
    val predecessors: Set<Holder> = emptySet(),
    val declaredHoldings: Map<Holder, Map<HostId, Set<AttemptId>>> = emptyMap(),
    val targets: Map<HostId, TargetLedger> = emptyMap(),
)

/**
 * Units lent to a holder; a recall is sent at [recallAt]. [sequence], [bound] and [cold] are the target's at the time
 * of the loan, so that a grant that is sent again doesn't appear newer than it is.
 */
data class Loan(
    val units: Int,
    val boot: BootId,
    val sequence: Long,
    val bound: Int,
    val cold: Boolean,
    val expiresAt: Instant,
    val recallAt: Instant,
)

/** Up to [limit] units of an ended process (null: unknown), until the report of fetch [fetchId] or a later one. */
data class EndedUnits(
    val limit: Int?,
    val fetchId: Long,
)

/** Up to [limit] units (null: all) that count as in use while the target lists any of [attempts]. */
data class OrphanedUnits(
    val limit: Int?,
    val attempts: Set<AttemptId>,
) {
    /** The units still in use, except those of the attempts [counted] elsewhere. */
    fun units(counted: Set<AttemptId> = emptySet()): Int {
        val others = attempts.count { it !in counted }
        return minOf(limit ?: others, others)
    }
}

/**
 * The units of one target. [fetchId] is the latest fetch of a report; [bootFetch] is the latest one sent before [boot]
 * was confirmed. While [isBootUncertain], a report named another boot. Until [attemptsWithoutUnitUntil], daemons that
 * have not received the transition to cold may send requests without units. A removed target is kept until all its
 * loans are returned.
 */
data class TargetLedger(
    val host: HostId,
    val checksFencing: Boolean,
    val warmRequests: Int,
    val boot: BootId? = null,
    val sequence: Long = -1,
    val phase: TargetPhase = TargetPhase.EMPTY,
    val isFenced: Boolean = false,
    val isBootUncertain: Boolean = false,
    val ramp: Ramp = Ramp(bound = 0, cold = true),
    val loans: Map<LoanId, Loan> = emptyMap(),
    val ended: List<EndedUnits> = emptyList(),
    val orphaned: List<OrphanedUnits> = emptyList(),
    val fetchId: Long = 1,
    val bootFetch: Long = 0,
    val isRemoved: Boolean = false,
    val attemptsWithoutUnitUntil: Instant? = null,
)

/** Replaces the state of [target]; deletes a removed target once all its loans are returned. */
internal fun LedgerState.with(target: TargetLedger): LedgerState {
    if (target.isRemoved && target.loans.isEmpty()) return copy(targets = targets - target.host)
    return copy(targets = targets + (target.host to target))
}
