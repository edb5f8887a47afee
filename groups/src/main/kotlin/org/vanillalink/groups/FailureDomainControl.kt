/*
 * Control (leadership) of a failure domain: one row, changed by conditional writes that increase the fencing number.
 *
 * The lease only indicates to other daemons when to attempt a takeover; safety does not depend on it. While the
 * platform is down the holder keeps control, and no other daemon can take it. Every transaction of the group controller
 * also rewrites the control row at the version that this daemon wrote last: so all writes of a superseded controller
 * fail, and a write whose response was lost is recognised by its number in the row.
 */
package org.vanillalink.groups

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.model.Aggregate
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Transition
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import java.time.Instant

private typealias ControlStep = Transition<ControlState, DomainDecision>

/** Acquires, renews and gives up control of [domain] for the daemon [self]. */
internal class FailureDomainControl(
    private val self: ControlHolder,
    private val domain: FailureDomainId,
    isOwnDomain: Boolean,
    private val settings: GroupSettings,
) : Aggregate<ControlState, DomainEvent, DomainDecision> {
    private val key = GroupRows.controlKey(domain)
    private val takeoverTimeout = if (isOwnDomain) settings.takeoverTimeout else settings.remoteTakeoverTimeout

    override fun handle(
        state: ControlState,
        event: DomainEvent,
        now: Instant,
    ): ControlStep = when (event) {
        is DomainEvent.Tick -> tick(state, now)
        is ControlEvent.ControlRowRead -> event.result.fold({ Transition(state) }, { observeRow(state, it, now) })
        is ControlEvent.TransactionFinished -> finishTransaction(state, event, now)
        is ControlEvent.FencingNumberSeen -> observeFencingNumber(state, event.fencingNumber)
        is ControlEvent.ShuttingDown -> tick(state.copy(isShuttingDown = true), now)
        is ControlEvent.TransactionRequested -> requestWrites(state, event.writes)
        is ControlEvent.StepDownRequested -> stepDown(state, ControlLossReason.ConflictingRows)
        is ControllerEvent -> Transition(state)
    }

    private fun tick(
        state: ControlState,
        now: Instant,
    ): ControlStep {
        if (state.lastAttemptAt.plus(settings.retryInterval) > now) return Transition(state)
        return advance(state.copy(lastAttemptAt = now), now)
    }

    private fun advance(
        state: ControlState,
        now: Instant,
    ): ControlStep {
        val pending = state.pending
        if (pending != null) return if (pending.isInFlight) Transition(state) else sendWrite(state, pending)
        val held = state.held ?: return seekControl(state, now)
        val renewalDue = held.writtenAt.plus(settings.renewInterval) <= now
        if (!renewalDue && !state.isShuttingDown) return Transition(state)
        return sendWrite(
            state,
            createWrite(state, held.fencingNumber, held.version, null, givenUp = state.isShuttingDown),
        )
    }

    private fun seekControl(
        state: ControlState,
        now: Instant,
    ): ControlStep {
        if (state.isShuttingDown) return Transition(state)
        if (canTakeControl(state.observed, now)) return takeControl(state, state.observed)
        if (state.lastReadAt.plus(settings.renewInterval) > now) return Transition(state)
        return Transition(state.copy(lastReadAt = now), listOf(DomainDecision.ReadControlRow(key)))
    }

    private fun canTakeControl(
        observed: ObservedControl?,
        now: Instant,
    ): Boolean {
        if (observed == null) return false
        val row = observed.row ?: return true
        return row.givenUp || observed.unchangedSince.plus(takeoverTimeout) <= now
    }

    private fun takeControl(
        state: ControlState,
        observed: ObservedControl?,
    ): ControlStep {
        val fencingNumber = maxOf(state.highestObserved, observed?.row?.fencingNumber ?: FencingNumber.NONE).next()
        return sendWrite(state, createWrite(state, fencingNumber, observed?.version ?: ConditionalWrite.ABSENT, null))
    }

    private fun createWrite(
        state: ControlState,
        fencingNumber: FencingNumber,
        version: Long,
        writes: List<ConditionalWrite>?,
        givenUp: Boolean = false,
    ): PendingWrite = PendingWrite(ControlRow(self, fencingNumber, state.lastWriteNumber + 1, givenUp), version, writes)

    private fun sendWrite(
        state: ControlState,
        pending: PendingWrite,
    ): ControlStep {
        val control = ConditionalWrite(key, pending.expectedVersion, GroupRows.encode(pending.row))
        val decision = DomainDecision.Transact(pending.row.write, listOf(control) + pending.writes.orEmpty())
        return Transition(
            state.copy(pending = pending.copy(isInFlight = true), lastWriteNumber = pending.row.write),
            listOf(decision),
        )
    }

    private fun requestWrites(
        state: ControlState,
        writes: List<ConditionalWrite>,
    ): ControlStep {
        val held = state.held ?: return Transition(state, listOf(reportFailure(StoreFailure.Unavailable)))
        if (state.pending != null) return Transition(state.copy(queuedWrites = writes))
        return sendWrite(state, createWrite(state, held.fencingNumber, held.version, writes))
    }

    private fun observeRow(
        state: ControlState,
        row: Row?,
        now: Instant,
    ): ControlStep {
        val version = row?.version ?: ConditionalWrite.ABSENT
        if (state.observed != null && version <= state.observed.version) return Transition(state)
        val control = row?.let { GroupRows.decodeControl(it.value) }
        val next = state.copy(observed = ObservedControl(version, control, now))
        return observeFencingNumber(next, control?.fencingNumber ?: FencingNumber.NONE)
    }

    private fun observeFencingNumber(
        state: ControlState,
        fencingNumber: FencingNumber,
    ): ControlStep {
        val next = state.copy(highestObserved = maxOf(state.highestObserved, fencingNumber))
        val held = state.held ?: return Transition(next)
        if (held.fencingNumber >= fencingNumber) return Transition(next)
        return stepDown(next, ControlLossReason.Superseded(fencingNumber))
    }

    /** Drops the write in progress: if it did take effect, the next controller reads its result from the rows. */
    private fun stepDown(
        state: ControlState,
        reason: ControlLossReason,
    ): ControlStep {
        val held = state.held ?: return Transition(state)
        val next = state.copy(held = null, pending = null, queuedWrites = null, lastReadAt = Instant.EPOCH)
        return Transition(next, listOf(DomainDecision.ControlLost(held.fencingNumber, reason)))
    }

    private fun finishTransaction(
        state: ControlState,
        event: ControlEvent.TransactionFinished,
        now: Instant,
    ): ControlStep {
        val pending = state.pending?.takeIf { it.row.write == event.write } ?: return Transition(state)
        val isPlatformReachable = event.result.isRight()
        val next = state.copy(isPlatformReachable = isPlatformReachable)
        val step = event.result.fold({ applyFailure(next, pending, it) }, { applyResult(next, pending, it, now) })
        if (isPlatformReachable == state.isPlatformReachable) return step
        return Transition(
            step.state,
            listOf(DomainDecision.PlatformStatusChanged(isPlatformReachable)) + step.decisions,
        )
    }

    private fun applyFailure(
        state: ControlState,
        pending: PendingWrite,
        failure: StoreFailure,
    ): ControlStep {
        val isAmbiguous = pending.isAmbiguous || failure == StoreFailure.AnswerLost
        if (isAmbiguous) return Transition(state.copy(pending = pending.copy(isInFlight = false, isAmbiguous = true)))
        val next = state.copy(pending = null)
        if (pending.row.givenUp) return stepDown(next, ControlLossReason.GivenUp)
        if (pending.writes == null) return sendQueued(next)
        return Transition(next, listOf(reportFailure(failure)))
    }

    private fun applyResult(
        state: ControlState,
        pending: PendingWrite,
        result: TransactionResult,
        now: Instant,
    ): ControlStep = when (result) {
        is TransactionResult.Committed -> {
            applyCommit(state, pending, result.versions.getValue(key), result, now)
        }

        is TransactionResult.Conflict -> {
            applyConflict(state, pending, result, now)
        }
    }

    private fun applyConflict(
        state: ControlState,
        pending: PendingWrite,
        result: TransactionResult.Conflict,
        now: Instant,
    ): ControlStep {
        val next = state.copy(pending = null)
        if (key !in result.actual) {
            return if (pending.writes ==
                null
            ) {
                Transition(next)
            } else {
                Transition(next, listOf(reportResult(result.right())))
            }
        }
        val actual = result.actual[key]
        val row = actual?.let { GroupRows.decodeControl(it.value) }
        if (actual != null && row == pending.row) {
            return applyCommit(state, pending, actual.version, TransactionResult.Committed(emptyMap()), now)
        }
        val step = observeRow(next, actual, now)
        if (step.state.held == null) return step
        return stepDown(step.state, ControlLossReason.ConflictingRows)
    }

    private fun applyCommit(
        state: ControlState,
        pending: PendingWrite,
        version: Long,
        result: TransactionResult.Committed,
        now: Instant,
    ): ControlStep {
        val fencingNumber = pending.row.fencingNumber
        val observed = ObservedControl(version, pending.row, now)
        val next =
            state.copy(
                pending = null,
                observed = observed,
                highestObserved = maxOf(state.highestObserved, fencingNumber),
            )
        if (pending.row.givenUp) return stepDown(next, ControlLossReason.GivenUp)
        if (next.highestObserved > fencingNumber) return Transition(next)
        val held = next.copy(held = HeldControl(fencingNumber, version, now))
        if (state.held == null) return Transition(held, listOf(DomainDecision.ControlGained(fencingNumber)))
        return if (pending.writes == null) sendQueued(held) else Transition(held, listOf(reportResult(result.right())))
    }

    private fun sendQueued(state: ControlState): ControlStep {
        val queuedWrites = state.queuedWrites ?: return Transition(state)
        return requestWrites(state.copy(queuedWrites = null), queuedWrites)
    }

    private fun reportFailure(failure: StoreFailure) = reportResult(failure.left())

    private fun reportResult(result: Either<StoreFailure, TransactionResult>) = InternalDecision.WritesFinished(result)
}
