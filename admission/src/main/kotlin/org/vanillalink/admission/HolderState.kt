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
 * The account of [holder]. [owner] lends under [fencingNumber] and was last heard at [lastReceivedAt].
 * [holdingsSentAt] is when the use of units of earlier controllers was last declared, [acknowledgedHoldings] what the
 * owner acknowledged of it.
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

/** A loan that was asked for and isn't answered yet. */
data class PendingLoan(
    val loan: LoanId,
    val units: Int,
    val sentAt: Instant,
)

/**
 * A loan as its holder sees it. [units] includes those of the attempts [inUse]. A [isRetired] loan's free units were
 * given up; [acknowledgedKept] is what the owner acknowledged of that and [returnSentAt] when it was last told.
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
 * The units of one target. [demand] attempts found none since the last loan; none is asked for before [borrowAfter].
 * [attemptsWithoutUnit] are attempts that were sent without a unit while the target was warm. [lostAttempts] are
 * attempts whose end only an answer to the fetch of that number can show; [answeredFetch] is the latest that was
 * answered. [boot], [sequence], [cold] and [bearableRequests] are those of the latest report; [degradedSequence] is
 * the latest in which the target was seen to bear less than before. While [isBootUncertain] some report named another
 * boot, and only an answer to fetch [bootFetch] or a later one tells which is the present one.
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
    /** Whether a connection broke and the target hasn't answered since; it may have restarted. */
    val isSuspected: Boolean get() = lostAttempts.values.any { it > answeredFetch }

    /** Whether the target's own reports show it warm, and nothing since makes that doubtful. */
    val isWarm: Boolean get() = boot != null && !cold && !isBootUncertain && !isSuspected

    /** All attempts whose work may not have ended. */
    val runningAttempts: Set<AttemptId> get() = loans.values.flatMapTo(HashSet(attemptsWithoutUnit)) { it.inUse }

    /** Units that an attempt may use now. */
    val freeUnits: Int get() = if (isSuspected) 0 else loans.values.sumOf { it.freeUnits }
}

/** The state with [target] as what it knows of [host]. */
internal fun HolderState.with(
    host: HostId,
    target: TargetLoans,
): HolderState = copy(targets = targets + (host to target))
