/*
 * Who controls a failure domain: one row, changed by conditional writes that raise the fencing number.
 *
 * The lease only tells others when it is worth trying to take over; nothing rests on it. While the platform is down the
 * holder goes on holding, and nobody can take control from it. Each transaction of the group controller goes through
 * here and rewrites the control's row at the version that this daemon wrote last: so a controller that was superseded
 * loses all its writes, and a lost answer is recognised by the number of the write in the row.
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
        is ControlEvent.ControlRowRead -> event.answer.fold({ Transition(state) }, { see(state, it, now) })
        is ControlEvent.TransactionFinished -> finish(state, event, now)
        is ControlEvent.FencingNumberSeen -> observe(state, event.fencingNumber)
        is ControlEvent.ShuttingDown -> tick(state.copy(shuttingDown = true), now)
        is ControlEvent.TransactRequested -> request(state, event.writes)
        is ControlEvent.ConcedeRequested -> concede(state, ControlLossReason.ConflictingRows)
        is ControllerEvent -> Transition(state)
    }

    private fun tick(
        state: ControlState,
        now: Instant,
    ): ControlStep {
        if (state.attemptedAt.plus(settings.retryInterval) > now) return Transition(state)
        return act(state.copy(attemptedAt = now), now)
    }

    private fun act(
        state: ControlState,
        now: Instant,
    ): ControlStep {
        val pending = state.pending
        if (pending != null) return if (pending.inFlight) Transition(state) else send(state, pending)
        val held = state.held ?: return seek(state, now)
        val renewalDue = held.writtenAt.plus(settings.renewInterval) <= now
        if (!renewalDue && !state.shuttingDown) return Transition(state)
        return send(state, newWrite(state, held.fencingNumber, held.version, null, givenUp = state.shuttingDown))
    }

    private fun seek(
        state: ControlState,
        now: Instant,
    ): ControlStep {
        if (state.shuttingDown) return Transition(state)
        if (mayTake(state.seen, now)) return take(state, state.seen)
        if (state.readAt.plus(settings.renewInterval) > now) return Transition(state)
        return Transition(state.copy(readAt = now), listOf(DomainDecision.ReadControlRow(key)))
    }

    private fun mayTake(
        seen: SeenControl?,
        now: Instant,
    ): Boolean {
        if (seen == null) return false
        val row = seen.row ?: return true
        return row.givenUp || seen.since.plus(takeoverTimeout) <= now
    }

    private fun take(
        state: ControlState,
        seen: SeenControl?,
    ): ControlStep {
        val next = maxOf(state.highestSeen, seen?.row?.fencingNumber ?: FencingNumber.NONE).next()
        return send(state, newWrite(state, next, seen?.version ?: ConditionalWrite.ABSENT, null))
    }

    private fun newWrite(
        state: ControlState,
        fencingNumber: FencingNumber,
        version: Long,
        requested: List<ConditionalWrite>?,
        givenUp: Boolean = false,
    ): PendingWrite = PendingWrite(ControlRow(self, fencingNumber, state.writes + 1, givenUp), version, requested)

    private fun send(
        state: ControlState,
        pending: PendingWrite,
    ): ControlStep {
        val control = ConditionalWrite(key, pending.expectedVersion, GroupRows.write(pending.row))
        val decision = DomainDecision.Transact(pending.row.write, listOf(control) + pending.requested.orEmpty())
        return Transition(
            state.copy(pending = pending.copy(inFlight = true), writes = pending.row.write),
            listOf(decision),
        )
    }

    private fun request(
        state: ControlState,
        writes: List<ConditionalWrite>,
    ): ControlStep {
        val held = state.held ?: return Transition(state, listOf(failed(StoreFailure.Unavailable)))
        if (state.pending != null) return Transition(state.copy(queued = writes))
        return send(state, newWrite(state, held.fencingNumber, held.version, writes))
    }

    private fun see(
        state: ControlState,
        row: Row?,
        now: Instant,
    ): ControlStep {
        val version = row?.version ?: ConditionalWrite.ABSENT
        if (state.seen != null && version <= state.seen.version) return Transition(state)
        val control = row?.let { GroupRows.readControl(it.value) }
        val seen = state.copy(seen = SeenControl(version, control, now))
        return observe(seen, control?.fencingNumber ?: FencingNumber.NONE)
    }

    private fun observe(
        state: ControlState,
        fencingNumber: FencingNumber,
    ): ControlStep {
        val next = state.copy(highestSeen = maxOf(state.highestSeen, fencingNumber))
        val held = state.held ?: return Transition(next)
        if (held.fencingNumber >= fencingNumber) return Transition(next)
        return concede(next, ControlLossReason.Superseded(fencingNumber))
    }

    /** Drops what is in progress: if it took effect after all, the next controller reads it in the rows. */
    private fun concede(
        state: ControlState,
        reason: ControlLossReason,
    ): ControlStep {
        val held = state.held ?: return Transition(state)
        val next = state.copy(held = null, pending = null, queued = null, readAt = Instant.EPOCH)
        return Transition(next, listOf(DomainDecision.ControlLost(held.fencingNumber, reason)))
    }

    private fun finish(
        state: ControlState,
        event: ControlEvent.TransactionFinished,
        now: Instant,
    ): ControlStep {
        val pending = state.pending?.takeIf { it.row.write == event.write } ?: return Transition(state)
        val reachable = event.answer.isRight()
        val next = state.copy(reachable = reachable)
        val step = event.answer.fold({ unanswered(next, pending, it) }, { answered(next, pending, it, now) })
        if (reachable == state.reachable) return step
        return Transition(step.state, listOf(DomainDecision.PlatformReachable(reachable)) + step.decisions)
    }

    private fun unanswered(
        state: ControlState,
        pending: PendingWrite,
        failure: StoreFailure,
    ): ControlStep {
        val ambiguous = pending.ambiguous || failure == StoreFailure.AnswerLost
        if (ambiguous) return Transition(state.copy(pending = pending.copy(inFlight = false, ambiguous = true)))
        val next = state.copy(pending = null)
        if (pending.row.givenUp) return concede(next, ControlLossReason.GivenUp)
        if (pending.requested == null) return sendQueued(next)
        return Transition(next, listOf(failed(failure)))
    }

    private fun answered(
        state: ControlState,
        pending: PendingWrite,
        result: TransactionResult,
        now: Instant,
    ): ControlStep = when (result) {
        is TransactionResult.Committed -> {
            commit(state, pending, result.versions.getValue(key), result, now)
        }

        is TransactionResult.Conflict -> {
            conflict(state, pending, result, now)
        }
    }

    private fun conflict(
        state: ControlState,
        pending: PendingWrite,
        result: TransactionResult.Conflict,
        now: Instant,
    ): ControlStep {
        val next = state.copy(pending = null)
        if (key !in result.actual) {
            return if (pending.requested ==
                null
            ) {
                Transition(next)
            } else {
                Transition(next, listOf(finished(result.right())))
            }
        }
        val actual = result.actual[key]
        val row = actual?.let { GroupRows.readControl(it.value) }
        if (actual != null && row == pending.row) {
            return commit(state, pending, actual.version, TransactionResult.Committed(emptyMap()), now)
        }
        val seen = see(next, actual, now)
        if (seen.state.held == null) return seen
        return concede(seen.state, ControlLossReason.ConflictingRows)
    }

    private fun commit(
        state: ControlState,
        pending: PendingWrite,
        version: Long,
        result: TransactionResult.Committed,
        now: Instant,
    ): ControlStep {
        val number = pending.row.fencingNumber
        val seen = SeenControl(version, pending.row, now)
        val next = state.copy(pending = null, seen = seen, highestSeen = maxOf(state.highestSeen, number))
        if (pending.row.givenUp) return concede(next, ControlLossReason.GivenUp)
        if (next.highestSeen > number) return Transition(next)
        val held = next.copy(held = HeldControl(number, version, now))
        if (state.held == null) return Transition(held, listOf(DomainDecision.ControlGained(number)))
        return if (pending.requested == null) sendQueued(held) else Transition(held, listOf(finished(result.right())))
    }

    private fun sendQueued(state: ControlState): ControlStep {
        val queued = state.queued ?: return Transition(state)
        return request(state.copy(queued = null), queued)
    }

    private fun failed(failure: StoreFailure) = finished(failure.left())

    private fun finished(answer: Either<StoreFailure, TransactionResult>) = InternalDecision.WritesFinished(answer)
}
