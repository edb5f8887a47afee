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
 * The account of [holder]. [owner] lends under [fencingNumber] and was last heard at [heardAt]. [holdingsSent] is when
 * the use of units of earlier controllers was last declared, [holdingsKnown] what the owner acknowledged of it.
 */
data class HolderState(
    val holder: Holder,
    val owner: DaemonId? = null,
    val fencingNumber: FencingNumber = FencingNumber.NONE,
    val heardAt: Instant = Instant.EPOCH,
    val nextSequence: Long = 1,
    val targets: Map<HostId, TargetLoans> = emptyMap(),
    val holdingsSent: Instant = Instant.EPOCH,
    val holdingsKnown: Map<HostId, Set<AttemptId>>? = null,
)

/** A loan that was asked for and isn't answered yet. */
data class PendingLoan(
    val loan: LoanId,
    val units: Int,
    val sentAt: Instant,
)

/**
 * A loan as its holder sees it. [units] includes those of the attempts [inUse]. A [retired] loan's free units were
 * given up; [returnKnown] is what the owner acknowledged of that and [returnSent] when it was last told.
 */
data class HeldLoan(
    val fencingNumber: FencingNumber,
    val boot: BootId,
    val units: Int,
    val end: Instant,
    val sequence: Long,
    val bound: Int,
    val cold: Boolean,
    val inUse: Set<AttemptId> = emptySet(),
    val retired: Boolean = false,
    val returnKnown: Int? = null,
    val returnSent: Instant = Instant.EPOCH,
) {
    /** Units that another attempt may use. */
    val free: Int get() = if (retired) 0 else units - inUse.size
}

/**
 * The units of one target. [wanted] attempts found none since the last loan; none is asked for before [askAfter].
 * [unlent] are attempts that were sent without a unit while the target was warm.
 * [lost] are attempts whose end only an answer to the fetch of that number can show; [answeredFetch] is the latest that
 * was answered. [boot], [sequence], [cold] and [bearableRequests] are those of the latest report; [turnSequence] is the
 * latest in which the target was seen to bear less than before. While [bootInDoubt] some report named another boot, and
 * only an answer to fetch [bootFetch] or a later one tells which is the present one.
 */
data class TargetLoans(
    val pending: PendingLoan? = null,
    val loans: Map<LoanId, HeldLoan> = emptyMap(),
    val wanted: Int = 0,
    val askAfter: Instant = Instant.EPOCH,
    val unlent: Set<AttemptId> = emptySet(),
    val lost: Map<AttemptId, Long> = emptyMap(),
    val fetchId: Long = 0,
    val answeredFetch: Long = 0,
    val boot: BootId? = null,
    val sequence: Long = -1,
    val cold: Boolean = false,
    val bearableRequests: Int? = null,
    val turnSequence: Long = -1,
    val bootInDoubt: Boolean = false,
    val bootFetch: Long = 0,
) {
    /** Whether a connection broke and the target hasn't answered since; it may have restarted. */
    val suspect: Boolean get() = lost.values.any { it > answeredFetch }

    /** Whether the target's own reports show it warm, and nothing since makes that doubtful. */
    val warm: Boolean get() = boot != null && !cold && !bootInDoubt && !suspect

    /** All attempts whose work may not have ended. */
    val running: Set<AttemptId> get() = loans.values.flatMapTo(HashSet(unlent)) { it.inUse }

    /** Units that an attempt may use now. */
    val free: Int get() = if (suspect) 0 else loans.values.sumOf { it.free }
}

/** The state with [target] as what it knows of [host]. */
internal fun HolderState.with(
    host: HostId,
    target: TargetLoans,
): HolderState = copy(targets = targets + (host to target))
