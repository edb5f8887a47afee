/*
 * Calls that may run at most once: one daemon's part.
 *
 * A record in the platform's table goes through claimed, sending and done by conditional writes. Whoever sees its own
 * attempt in state sending runs the call; that state is never taken over. No lease and no clock is needed for safety:
 * a process that wakes late loses its write.
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

/** The calls with idempotency keys at one process. */
class IdempotentDispatch(
    private val settings: DispatchSettings = DispatchSettings(),
) : Aggregate<DispatchState, DispatchEvent, DispatchDecision> {
    private val codec = DispatchRecordCodec()
    private val steps = DispatchSteps(codec)
    private val refusals = DispatchRefusals(settings)
    private val start = RecordStart(settings, steps, refusals, codec)
    private val finish = RecordFinish(settings, steps, refusals, codec)
    private val timer = DispatchTimer(settings, steps, start, finish)

    override fun handle(
        state: DispatchState,
        event: DispatchEvent,
        now: Instant,
    ): Transition<DispatchState, DispatchDecision> = when (event) {
        is DispatchEvent.CallArrived -> callArrived(state, event.call, now)
        is DispatchEvent.TransactionFinished -> transactionFinished(state, event, now)
        is DispatchEvent.RowsRead -> rowsRead(state, event, now)
        is DispatchEvent.OwnerAnswered -> ownerAnswered(state, event, now)
        is DispatchEvent.TargetAnswered -> targetAnswered(state, event, now)
        is DispatchEvent.TargetFailed -> targetFailed(state, event, now)
        is DispatchEvent.BodyStored -> bodyStored(state, event, now)
        DispatchEvent.Tick -> timer.tick(state, now)
    }

    private fun callArrived(
        state: DispatchState,
        call: KeyedCall,
        now: Instant,
    ): DispatchTransition {
        val present = state.entries[call.record]
        if (present != null) return joinPresent(state, present, call, now)
        val entry = DispatchEntry(call, DispatchPhase.Claiming, startedAt = now)
        return steps.claim(state, entry, ConditionalWrite.ABSENT, now)
    }

    private fun joinPresent(
        state: DispatchState,
        present: DispatchEntry,
        call: KeyedCall,
        now: Instant,
    ): DispatchTransition {
        if (present.call.attempt == call.attempt) return Transition(state)
        val phase = present.phase
        val decision =
            when {
                present.call.fingerprint != call.fingerprint -> {
                    DispatchDecision.RefuseCall(call.request, refusals.keyReused())
                }

                phase is DispatchPhase.Completing -> {
                    DispatchDecision.AnswerCaller(call.request, phase.outcome, replay = true)
                }

                phase is DispatchPhase.StoringBody -> {
                    DispatchDecision.AnswerCaller(call.request, phase.outcome, replay = true)
                }

                else -> {
                    DispatchDecision.RefuseCall(call.request, refusals.inProgress(present.startedAt, now))
                }
            }
        return Transition(state, listOf(decision))
    }

    private fun transactionFinished(
        state: DispatchState,
        event: DispatchEvent.TransactionFinished,
        now: Instant,
    ): DispatchTransition {
        val entry = state.awaiting(event.operation) ?: return Transition(state)
        return when (val result = event.result) {
            is Either.Left -> writeFailed(state.failing(now), entry, result.value, now)
            is Either.Right -> writeAnswered(state.copy(storeFailingSince = null), entry, result.value, now)
        }
    }

    private fun writeAnswered(
        state: DispatchState,
        entry: DispatchEntry,
        result: TransactionResult,
        now: Instant,
    ): DispatchTransition = when (result) {
        is TransactionResult.Conflict -> {
            val row = result.actual[entry.call.record.row]
            if (entry.isUnsent()) start.proceed(state, entry, row, now) else finish.settle(state, entry, row, now)
        }

        is TransactionResult.Committed -> {
            val version = result.versions[entry.call.record.row] ?: (entry.version + 1)
            committed(state, entry, version, now)
        }
    }

    private fun committed(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
        now: Instant,
    ): DispatchTransition = when (entry.phase) {
        DispatchPhase.Claiming, DispatchPhase.Recording -> {
            when {
                now.isAfter(entry.call.deadline) -> start.pastDeadline(state, entry, now)
                entry.phase == DispatchPhase.Claiming -> steps.recordSending(state, entry, version, now)
                else -> start.send(state, entry, version)
            }
        }

        is DispatchPhase.Completing, DispatchPhase.Releasing -> {
            Transition(steps.drop(state, entry))
        }

        is DispatchPhase.AskingOwner, is DispatchPhase.StoringBody, DispatchPhase.Sending -> {
            Transition(state)
        }
    }

    private fun writeFailed(
        state: DispatchState,
        entry: DispatchEntry,
        failure: StoreFailure,
        now: Instant,
    ): DispatchTransition = when {
        !entry.isUnsent() -> {
            Transition(steps.keep(state, entry.later(now)))
        }

        failure == StoreFailure.AnswerLost -> {
            steps.read(state, entry)
        }

        entry.phase == DispatchPhase.Claiming && entry.failedReads == 0 -> {
            steps.refuse(state, entry, refusals.recordUnavailable(state.failingSince(now), now))
        }

        else -> {
            start.giveUp(state, entry, refusals.recordUnavailable(state.failingSince(now), now))
        }
    }

    private fun rowsRead(
        state: DispatchState,
        event: DispatchEvent.RowsRead,
        now: Instant,
    ): DispatchTransition {
        val entry = state.awaiting(event.operation) ?: return Transition(state)
        return when (val result = event.result) {
            is Either.Left -> readFailed(state.failing(now), entry, now)
            is Either.Right -> rowRead(state.copy(storeFailingSince = null), entry, result.value, now)
        }
    }

    private fun rowRead(
        state: DispatchState,
        entry: DispatchEntry,
        rows: Map<RowKey, Row>,
        now: Instant,
    ): DispatchTransition {
        val row = rows[entry.call.record.row]
        return if (entry.isUnsent()) start.proceed(state, entry, row, now) else finish.settle(state, entry, row, now)
    }

    private fun readFailed(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        if (entry.phase is DispatchPhase.AskingOwner) return steps.refuse(state, entry, refusals.outcomeUnknown())
        val failedReads = entry.failedReads + 1
        if (entry.isUnsent() && failedReads >= settings.readsBeforeRefusal) {
            return start.giveUp(state, entry, refusals.recordUnavailable(state.failingSince(now), now))
        }
        return Transition(steps.keep(state, entry.copy(failedReads = failedReads).later(now)))
    }

    private fun ownerAnswered(
        state: DispatchState,
        event: DispatchEvent.OwnerAnswered,
        now: Instant,
    ): DispatchTransition {
        val entry = state.entries[event.record] ?: return Transition(state)
        val phase = entry.phase as? DispatchPhase.AskingOwner ?: return Transition(state)
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

            OwnerStatus.NotHere, OwnerStatus.Unreachable -> {
                start.lookAgain(state, entry, phase)
            }
        }
    }

    private fun targetAnswered(
        state: DispatchState,
        event: DispatchEvent.TargetAnswered,
        now: Instant,
    ): DispatchTransition {
        val entry = state.sending(event.record, event.attempt) ?: return Transition(state)
        return finish.targetAnswered(state, entry, event.outcome, now)
    }

    private fun targetFailed(
        state: DispatchState,
        event: DispatchEvent.TargetFailed,
        now: Instant,
    ): DispatchTransition {
        val entry = state.sending(event.record, event.attempt) ?: return Transition(state)
        return finish.targetFailed(state, entry, event.mayHaveRun, now)
    }

    private fun bodyStored(
        state: DispatchState,
        event: DispatchEvent.BodyStored,
        now: Instant,
    ): DispatchTransition {
        val entry = state.entries[event.record] ?: return Transition(state)
        val phase = entry.phase as? DispatchPhase.StoringBody ?: return Transition(state)
        if (phase.name != event.name) return Transition(state)
        return event.result.fold(
            { Transition(steps.keep(state, entry.later(now))) },
            { finish.bodyStored(state, entry, phase, now) },
        )
    }

    private fun DispatchEntry.later(now: Instant): DispatchEntry = copy(dueAt = now.plus(settings.retryInterval))

    /** The call that waits for [operation]; a doubled result finds none, since the first one is used up. */
    private fun DispatchState.awaiting(operation: StoreOperation): DispatchEntry? =
        entries[operation.record]?.takeIf { it.operation == operation.number }?.copy(
            operation = DispatchEntry.NO_OPERATION,
        )

    private fun DispatchState.sending(
        record: RecordId,
        attempt: AttemptId,
    ): DispatchEntry? = entries[record]?.takeIf { it.phase == DispatchPhase.Sending && it.call.attempt == attempt }

    private fun DispatchState.failing(now: Instant): DispatchState = copy(storeFailingSince = failingSince(now))

    private fun DispatchState.failingSince(now: Instant): Instant = storeFailingSince ?: now
}
