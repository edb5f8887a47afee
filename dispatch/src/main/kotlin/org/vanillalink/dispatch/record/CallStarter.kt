/*
 * Steps of a call until it is sent.
 *
 * The call is sent only once this process has observed its own attempt in state sending, from the result of the write
 * or by reading the row back.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.Transition
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import java.time.Instant

internal class CallStarter(
    private val settings: DispatchSettings,
    private val steps: DispatchSteps,
    private val refusals: DispatchRefusals,
    private val codec: DispatchRecordCodec,
) {
    /** Takes the next step for the content of [row] in the table. */
    fun proceed(
        state: DispatchState,
        entry: DispatchEntry,
        row: Row?,
        now: Instant,
    ): DispatchTransition {
        if (now.isAfter(entry.call.deadline)) return onDeadlinePassed(state, entry, now)
        if (row == null) return steps.claim(state, entry, ConditionalWrite.ABSENT, now)
        val record =
            codec.decode(row.value).getOrNull()
                ?: return steps.refuse(state, entry, refusals.outcomeUnknown())
        return when (record.state) {
            RecordState.RELEASED -> steps.claim(state, entry, row.version, now)
            RecordState.CLAIMED -> proceedFromClaimed(state, entry, row.version, record, now)
            RecordState.SENDING -> proceedFromSending(state, entry, row.version, record, now)
            RecordState.DONE -> proceedFromDone(state, entry, record)
        }
    }

    /** Ends a call that wasn't sent, and releases its claim, or a write of sending whose result is unknown. */
    fun giveUp(
        state: DispatchState,
        entry: DispatchEntry,
        refusal: Refusal,
    ): DispatchTransition {
        val releasing = entry.copy(phase = DispatchPhase.Releasing, isAnswered = true, failedReads = 0)
        val reading = steps.read(state, releasing)
        return Transition(reading.state, steps.refusalUnlessAnswered(entry, refusal) + reading.decisions)
    }

    /** Ends a call whose deadline passed before it was sent. */
    fun onDeadlinePassed(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        if (entry.phase is DispatchPhase.QueryingOwner) {
            val refusal = refusals.deadlineExceeded(RefusalOutcome.UNKNOWN, entry.startedAt, now)
            return steps.refuse(state, entry, refusal)
        }
        return giveUp(state, entry, refusals.deadlineExceeded(RefusalOutcome.NOT_RUN, entry.startedAt, now))
    }

    /** Sends the call after the write of sending has committed as [version]. */
    fun send(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
    ): DispatchTransition {
        val sending = entry.copy(phase = DispatchPhase.Sending, version = version, dueAt = null)
        return Transition(steps.put(state, sending), listOf(DispatchDecision.SendToTarget(entry.call)))
    }

    /** Reads the row again: the owner may have recorded the outcome since, and have removed its entry. */
    fun rereadRow(
        state: DispatchState,
        entry: DispatchEntry,
        phase: DispatchPhase.QueryingOwner,
    ): DispatchTransition = steps.read(state, entry.copy(phase = phase.copy(rereads = phase.rereads + 1)))

    private fun proceedFromClaimed(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
        record: DispatchRecord,
        now: Instant,
    ): DispatchTransition {
        if (record.attempt == entry.call.attempt) return steps.recordSending(state, entry, version, now)
        if (record.fingerprint != entry.call.fingerprint) return steps.refuse(state, entry, refusals.keyReused())
        if (entry.phase == DispatchPhase.Recording) return refuseLostClaim(state, entry, now)
        return steps.claim(state, entry, version, now)
    }

    /** Refuses the call, because two daemons could otherwise take the claim over from each other for ever. */
    private fun refuseLostClaim(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition = steps.refuse(state, entry, refusals.inProgress(entry.startedAt, now))

    private fun proceedFromSending(
        state: DispatchState,
        entry: DispatchEntry,
        version: Long,
        record: DispatchRecord,
        now: Instant,
    ): DispatchTransition {
        if (record.attempt == entry.call.attempt) return send(state, entry, version)
        if (record.fingerprint != entry.call.fingerprint) return steps.refuse(state, entry, refusals.keyReused())
        val rereads = (entry.phase as? DispatchPhase.QueryingOwner)?.rereads ?: 0
        if (rereads > 0 || record.owner.isOwnDaemon(state)) return steps.refuse(state, entry, refusals.outcomeUnknown())
        val querying =
            entry.copy(
                phase = DispatchPhase.QueryingOwner(record),
                dueAt = now.plus(settings.ownerResponseTimeout),
            )
        return Transition(
            steps.put(state, querying),
            listOf(DispatchDecision.QueryOwner(record.owner, entry.call.record)),
        )
    }

    private fun RecordOwner.isOwnDaemon(state: DispatchState): Boolean = daemon == state.owner.daemon

    private fun proceedFromDone(
        state: DispatchState,
        entry: DispatchEntry,
        record: DispatchRecord,
    ): DispatchTransition {
        if (record.fingerprint != entry.call.fingerprint) return steps.refuse(state, entry, refusals.keyReused())
        val outcome = record.outcome ?: return steps.refuse(state, entry, refusals.outcomeUnknown())
        return steps.replay(state, entry, outcome)
    }
}
