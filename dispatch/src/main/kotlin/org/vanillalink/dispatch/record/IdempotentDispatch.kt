/*
 * One daemon's handling of calls that may run at most once.
 *
 * A record in the platform's table goes through the states claimed, sending and done by conditional writes. The process
 * that observes its own attempt in state sending runs the call; that state is never taken over. Safety depends on no
 * lease and no clock: the conditional write of a process that resumes after its record was taken over fails.
 */
package org.vanillalink.dispatch.record

import arrow.core.Either
import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Transition
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import java.time.Instant

/** Runs the calls with idempotency keys at one daemon process. */
class IdempotentDispatch(
    private val settings: DispatchSettings = DispatchSettings(),
) : Aggregate<DispatchState, DispatchEvent, DispatchDecision> {
    private val codec = DispatchRecordCodec()
    private val steps = DispatchSteps(codec)
    private val refusals = DispatchRefusals(settings)
    private val starter = CallStarter(settings, steps, refusals, codec)
    private val finisher = CallFinisher(settings, steps, refusals, codec)
    private val timer = DispatchTimer(settings, steps, starter, finisher)

    override fun handle(
        state: DispatchState,
        event: DispatchEvent,
        now: Instant,
    ): Transition<DispatchState, DispatchDecision> = when (event) {
        is DispatchEvent.CallArrived -> onCallArrived(state, event.call, now)
        is DispatchEvent.TransactionFinished -> onTransactionFinished(state, event, now)
        is DispatchEvent.ReadFinished -> onReadFinished(state, event, now)
        is DispatchEvent.OwnerStatusReceived -> onOwnerStatusReceived(state, event, now)
        is DispatchEvent.TargetResponded -> onTargetResponded(state, event, now)
        is DispatchEvent.TargetFailed -> onTargetFailed(state, event, now)
        is DispatchEvent.StoreBodyFinished -> onBodyStored(state, event, now)
        DispatchEvent.Tick -> timer.tick(state, now)
    }

    private fun onCallArrived(
        state: DispatchState,
        call: KeyedCall,
        now: Instant,
    ): DispatchTransition {
        val existing = state.entries[call.record]
        if (existing != null) return onDuplicateCall(state, existing, call, now)
        val entry = DispatchEntry(call, DispatchPhase.Claiming, startedAt = now)
        return steps.claim(state, entry, ConditionalWrite.ABSENT, now)
    }

    private fun onDuplicateCall(
        state: DispatchState,
        existing: DispatchEntry,
        call: KeyedCall,
        now: Instant,
    ): DispatchTransition {
        if (existing.call.attempt == call.attempt) return Transition(state)
        val phase = existing.phase
        val decision =
            when {
                existing.call.fingerprint != call.fingerprint -> {
                    DispatchDecision.RefuseCall(call.request, refusals.keyReused())
                }

                phase is DispatchPhase.Completing -> {
                    DispatchDecision.RespondToCaller(call.request, phase.outcome, isReplay = true)
                }

                phase is DispatchPhase.StoringBody -> {
                    DispatchDecision.RespondToCaller(call.request, phase.outcome, isReplay = true)
                }

                else -> {
                    DispatchDecision.RefuseCall(call.request, refusals.inProgress(existing.startedAt, now))
                }
            }
        return Transition(state, listOf(decision))
    }

    private fun onTransactionFinished(
        state: DispatchState,
        event: DispatchEvent.TransactionFinished,
        now: Instant,
    ): DispatchTransition {
        val entry = state.findPending(event.operation) ?: return Transition(state)
        return when (val result = event.result) {
            is Either.Left -> onWriteFailed(state.withStoreUnavailable(now), entry, result.value, now)
            is Either.Right -> onWriteResult(state.copy(storeUnavailableSince = null), entry, result.value, now)
        }
    }

    private fun onWriteResult(
        state: DispatchState,
        entry: DispatchEntry,
        result: TransactionResult,
        now: Instant,
    ): DispatchTransition = when (result) {
        is TransactionResult.Conflict -> {
            val row = result.actual[entry.call.record.row]
            if (entry.isUnsent()) starter.proceed(state, entry, row, now) else finisher.retry(state, entry, row, now)
        }

        is TransactionResult.Committed -> {
            val version = result.versions[entry.call.record.row] ?: (entry.version + 1)
            onWriteCommitted(state, entry, version, now)
        }
    }

    private fun onWriteCommitted(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
        now: Instant,
    ): DispatchTransition = when (entry.phase) {
        DispatchPhase.Claiming, DispatchPhase.Recording -> {
            when {
                now.isAfter(entry.call.deadline) -> starter.onDeadlinePassed(state, entry, now)
                entry.phase == DispatchPhase.Claiming -> steps.recordSending(state, entry, version, now)
                else -> starter.send(state, entry, version)
            }
        }

        is DispatchPhase.Completing, DispatchPhase.Releasing -> {
            Transition(steps.remove(state, entry))
        }

        is DispatchPhase.QueryingOwner, is DispatchPhase.StoringBody, DispatchPhase.Sending -> {
            Transition(state)
        }
    }

    private fun onWriteFailed(
        state: DispatchState,
        entry: DispatchEntry,
        failure: StoreFailure,
        now: Instant,
    ): DispatchTransition = when {
        !entry.isUnsent() -> {
            Transition(steps.put(state, entry.withRetryDue(now)))
        }

        failure == StoreFailure.AnswerLost -> {
            steps.read(state, entry)
        }

        entry.phase == DispatchPhase.Claiming && entry.failedReads == 0 -> {
            steps.refuse(state, entry, refusals.recordUnavailable(state.unavailableSince(now), now))
        }

        else -> {
            starter.giveUp(state, entry, refusals.recordUnavailable(state.unavailableSince(now), now))
        }
    }

    private fun onReadFinished(
        state: DispatchState,
        event: DispatchEvent.ReadFinished,
        now: Instant,
    ): DispatchTransition {
        val entry = state.findPending(event.operation) ?: return Transition(state)
        return when (val result = event.result) {
            is Either.Left -> onReadFailed(state.withStoreUnavailable(now), entry, now)
            is Either.Right -> onRowRead(state.copy(storeUnavailableSince = null), entry, result.value, now)
        }
    }

    private fun onRowRead(
        state: DispatchState,
        entry: DispatchEntry,
        rows: Map<RowKey, Row>,
        now: Instant,
    ): DispatchTransition {
        val row = rows[entry.call.record.row]
        return if (entry.isUnsent()) starter.proceed(state, entry, row, now) else finisher.retry(state, entry, row, now)
    }

    private fun onReadFailed(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        if (entry.phase is DispatchPhase.QueryingOwner) return steps.refuse(state, entry, refusals.outcomeUnknown())
        val failedReads = entry.failedReads + 1
        if (entry.isUnsent() && failedReads >= settings.maxFailedReads) {
            return starter.giveUp(state, entry, refusals.recordUnavailable(state.unavailableSince(now), now))
        }
        return Transition(steps.put(state, entry.copy(failedReads = failedReads).withRetryDue(now)))
    }

    private fun onOwnerStatusReceived(
        state: DispatchState,
        event: DispatchEvent.OwnerStatusReceived,
        now: Instant,
    ): DispatchTransition {
        val entry = state.entries[event.record] ?: return Transition(state)
        val phase = entry.phase as? DispatchPhase.QueryingOwner ?: return Transition(state)
        if (phase.rereads > 0) return Transition(state)
        return when (val status = event.status) {
            OwnerStatus.Running -> {
                val since = Instant.ofEpochMilli(phase.record.writtenAtMilliseconds)
                steps.refuse(state, entry, refusals.inProgress(since, now))
            }

            is OwnerStatus.Finished -> {
                if (status.fingerprint != entry.call.fingerprint) {
                    steps.refuse(state, entry, refusals.keyReused())
                } else {
                    steps.replay(state, entry, status.outcome)
                }
            }

            OwnerStatus.NotFound, OwnerStatus.Unreachable -> {
                starter.rereadRow(state, entry, phase)
            }
        }
    }

    private fun onTargetResponded(
        state: DispatchState,
        event: DispatchEvent.TargetResponded,
        now: Instant,
    ): DispatchTransition {
        val entry = state.findSending(event.record, event.attempt) ?: return Transition(state)
        return finisher.onTargetResponded(state, entry, event.outcome, now)
    }

    private fun onTargetFailed(
        state: DispatchState,
        event: DispatchEvent.TargetFailed,
        now: Instant,
    ): DispatchTransition {
        val entry = state.findSending(event.record, event.attempt) ?: return Transition(state)
        return finisher.onTargetFailed(state, entry, event.mayHaveRun, now)
    }

    private fun onBodyStored(
        state: DispatchState,
        event: DispatchEvent.StoreBodyFinished,
        now: Instant,
    ): DispatchTransition {
        val entry = state.entries[event.record] ?: return Transition(state)
        val phase = entry.phase as? DispatchPhase.StoringBody ?: return Transition(state)
        if (phase.name != event.name) return Transition(state)
        return event.result.fold(
            { Transition(steps.put(state, entry.withRetryDue(now))) },
            { finisher.onBodyStored(state, entry, phase, now) },
        )
    }

    private fun DispatchEntry.withRetryDue(now: Instant): DispatchEntry = copy(dueAt = now.plus(settings.retryInterval))

    /** Returns the call that awaits [operation], now awaiting nothing, or null for a duplicate of an earlier result. */
    private fun DispatchState.findPending(operation: StoreOperation): DispatchEntry? =
        entries[operation.record]?.takeIf { it.pendingOperation == operation.number }?.copy(
            pendingOperation = DispatchEntry.NO_OPERATION,
        )

    private fun DispatchState.findSending(
        record: RecordId,
        attempt: AttemptId,
    ): DispatchEntry? = entries[record]?.takeIf { it.phase == DispatchPhase.Sending && it.call.attempt == attempt }

    private fun DispatchState.withStoreUnavailable(now: Instant): DispatchState =
        copy(storeUnavailableSince = unavailableSince(now))

    private fun DispatchState.unavailableSince(now: Instant): Instant = storeUnavailableSince ?: now
}
