/*
 * Steps shared by all phases of a call: each starts one table operation, or updates or ends the call at this process.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.model.Refusal
import org.vanillalink.model.Transition
import org.vanillalink.store.ConditionalWrite
import java.time.Instant

internal typealias DispatchTransition = Transition<DispatchState, DispatchDecision>

internal class DispatchSteps(
    private val codec: DispatchRecordCodec,
) {
    fun claim(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
        now: Instant,
    ): DispatchTransition =
        write(state, entry.copy(phase = DispatchPhase.Claiming, version = version), RecordState.CLAIMED, now)

    fun recordSending(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
        now: Instant,
    ): DispatchTransition =
        write(state, entry.copy(phase = DispatchPhase.Recording, version = version), RecordState.SENDING, now)

    fun release(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition = write(state, entry.copy(phase = DispatchPhase.Releasing), RecordState.RELEASED, now)

    fun complete(
        state: DispatchState,
        entry: DispatchEntry,
        phase: DispatchPhase.Completing,
        now: Instant,
    ): DispatchTransition = write(state, entry.copy(phase = phase), RecordState.DONE, now, phase.recorded)

    fun read(
        state: DispatchState,
        entry: DispatchEntry,
    ): DispatchTransition {
        val operation = StoreOperation(entry.call.record, state.lastOperationNumber + 1)
        val pendingEntry = entry.copy(pendingOperation = operation.number, dueAt = null)
        val next = put(state, pendingEntry).copy(lastOperationNumber = operation.number)
        return Transition(next, listOf(DispatchDecision.ReadRow(operation, entry.call.record.row)))
    }

    fun refuse(
        state: DispatchState,
        entry: DispatchEntry,
        refusal: Refusal,
    ): DispatchTransition = Transition(remove(state, entry), refusalUnlessAnswered(entry, refusal))

    fun replay(
        state: DispatchState,
        entry: DispatchEntry,
        outcome: CallOutcome,
    ): DispatchTransition = Transition(
        remove(state, entry),
        listOf(DispatchDecision.RespondToCaller(entry.call.request, outcome, isReplay = true)),
    )

    fun put(
        state: DispatchState,
        entry: DispatchEntry,
    ): DispatchState = state.copy(entries = state.entries + (entry.call.record to entry))

    fun remove(
        state: DispatchState,
        entry: DispatchEntry,
    ): DispatchState = state.copy(entries = state.entries - entry.call.record)

    fun refusalUnlessAnswered(
        entry: DispatchEntry,
        refusal: Refusal,
    ): List<DispatchDecision> =
        if (entry.isAnswered) emptyList() else listOf(DispatchDecision.RefuseCall(entry.call.request, refusal))

    private fun write(
        state: DispatchState,
        entry: DispatchEntry,
        recordState: RecordState,
        now: Instant,
        outcome: CallOutcome? = null,
    ): DispatchTransition {
        val call = entry.call
        val operation = StoreOperation(call.record, state.lastOperationNumber + 1)
        val record =
            DispatchRecord(
                state = recordState,
                owner = state.owner,
                attempt = call.attempt,
                fingerprint = call.fingerprint,
                workspace = call.workspace,
                writtenAtMilliseconds = now.toEpochMilli(),
                outcome = outcome,
            )
        val write = ConditionalWrite(call.record.row, entry.version, codec.encode(record))
        val next = put(state, entry.copy(pendingOperation = operation.number, dueAt = null))
        return Transition(
            next.copy(lastOperationNumber = operation.number),
            listOf(DispatchDecision.Transact(operation, write)),
        )
    }
}
