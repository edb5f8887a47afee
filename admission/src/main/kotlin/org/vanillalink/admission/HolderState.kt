/*
 * What a daemon knows of the units that it borrowed.
 */
package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import java.time.Instant

/**
 * The loans of [holder]. [owner] lends under [fencingNumber]; its last message was received at [lastReceivedAt].
 * [holdingsSentAt] is when the units in use under earlier controllers were last declared, [acknowledgedHoldings] the
 * declaration that the owner last acknowledged.
 */
data class HolderState(
    val holder: Holder,
    val owner: DaemonId? = null,
    val fencingNumber: FencingNumber = FencingNumber.NONE,
    val lastReceivedAt: Instant = Instant.EPOCH,
    val nextSequence: Long = 1,
    val targets: Map<HostId, TargetLoans> = emptyMap(),
    val holdingsSentAt: Instant = Instant.EPOCH,
    val acknowledgedHoldings: Map<HostId, Set<AttemptId>>? = null,
)

/** A requested loan without a reply yet. */
data class PendingLoan(
    val loan: LoanId,
    val units: Int,
    val sentAt: Instant,
)

/**
 * A loan at its holder. [units] includes those of the attempts [inUse]. The free units of a retired loan are returned:
 * [acknowledgedKept] is the number of kept units that the owner has acknowledged, [returnSentAt] when the return was
 * last sent.
 */
data class HeldLoan(
    val fencingNumber: FencingNumber,
    val boot: BootId,
    val units: Int,
    val expiresAt: Instant,
    val sequence: Long,
    val bound: Int,
    val cold: Boolean,
    val inUse: Set<AttemptId> = emptySet(),
    val isRetired: Boolean = false,
    val acknowledgedKept: Int? = null,
    val returnSentAt: Instant = Instant.EPOCH,
) {
    /** Units that another attempt may use. */
    val freeUnits: Int get() = if (isRetired) 0 else units - inUse.size
}

/**
 * The loans of one target. [demand] attempts found no unit since the last loan; no loan is requested before
 * [borrowAfter]. [attemptsWithoutUnit] are attempts that were sent without a unit while the target was warm.
 * [lostAttempts] maps attempts of unknown outcome to the fetch whose report, or a later one, can show their end.
 * [fetchId] is the latest fetch sent, [answeredFetch] the latest with a report. [boot], [sequence], [cold] and
 * [bearableRequests] are those of the latest report; [degradedSequence] is the latest report in which the target bore
 * fewer requests than before. While [isBootUncertain], a report named another boot, and only the report of fetch
 * [bootFetch] or a later one shows which boot is the current one.
 */
data class TargetLoans(
    val pendingLoan: PendingLoan? = null,
    val loans: Map<LoanId, HeldLoan> = emptyMap(),
    val demand: Int = 0,
    val borrowAfter: Instant = Instant.EPOCH,
    val attemptsWithoutUnit: Set<AttemptId> = emptySet(),
    val lostAttempts: Map<AttemptId, Long> = emptyMap(),
    val fetchId: Long = 0,
    val answeredFetch: Long = 0,
    val boot: BootId? = null,
    val sequence: Long = -1,
    val cold: Boolean = false,
    val bearableRequests: Int? = null,
    val degradedSequence: Long = -1,
    val isBootUncertain: Boolean = false,
    val bootFetch: Long = 0,
) {
    /** Whether a connection broke and no report was fetched since; the target may have restarted. */
    val isSuspected: Boolean get() = lostAttempts.values.any { it > answeredFetch }

    /** Whether the target's reports show it warm, and neither its boot nor a connection is in doubt since. */
    val isWarm: Boolean get() = boot != null && !cold && !isBootUncertain && !isSuspected

    /** All attempts whose execution may not have ended. */
    val runningAttempts: Set<AttemptId> get() = loans.values.flatMapTo(HashSet(attemptsWithoutUnit)) { it.inUse }

    /** Units that an attempt may use now. */
    val freeUnits: Int get() = if (isSuspected) 0 else loans.values.sumOf { it.freeUnits }
}

internal fun HolderState.with(
    host: HostId,
    target: TargetLoans,
): HolderState = copy(targets = targets + (host to target))
