/*
 * Steps of a call after it was sent: its outcome goes to the caller at once and to the record as soon as possible.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.Transition
import org.vanillalink.store.Row
import java.time.Instant

internal class CallFinisher(
    private val settings: DispatchSettings,
    private val steps: DispatchSteps,
    private val refusals: DispatchRefusals,
    private val codec: DispatchRecordCodec,
) {
    fun onTargetResponded(
        state: DispatchState,
        entry: DispatchEntry,
        outcome: CallOutcome,
        now: Instant,
    ): DispatchTransition {
        val response = DispatchDecision.RespondToCaller(entry.call.request, outcome, isReplay = false)
        val responses = if (entry.isAnswered) emptyList() else listOf(response)
        val recording = recordOutcome(state, entry.copy(isAnswered = true), outcome, now)
        return Transition(recording.state, responses + recording.decisions)
    }

    fun onTargetFailed(
        state: DispatchState,
        entry: DispatchEntry,
        mayHaveRun: Boolean,
        now: Instant,
    ): DispatchTransition {
        if (mayHaveRun) return steps.refuse(state, entry, refusals.outcomeUnknown())
        val refusal = refusals.targetNotReached(entry.startedAt, now)
        val releasing = steps.release(state, entry.copy(isAnswered = true), now)
        return Transition(releasing.state, steps.refusalUnlessAnswered(entry, refusal) + releasing.decisions)
    }

    /** Refuses the caller at once; the call continues, and its outcome will be replayed. */
    fun onDeadlinePassed(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        val refusal = refusals.deadlineExceeded(RefusalOutcome.UNKNOWN, entry.startedAt, now)
        return Transition(
            steps.put(state, entry.copy(isAnswered = true)),
            steps.refusalUnlessAnswered(entry, refusal),
        )
    }

    fun onBodyStored(
        state: DispatchState,
        entry: DispatchEntry,
        phase: DispatchPhase.StoringBody,
        now: Instant,
    ): DispatchTransition {
        val recorded = phase.outcome.copy(body = OutcomeBody.Stored(phase.name))
        return steps.complete(state, entry, DispatchPhase.Completing(phase.outcome, recorded), now)
    }

    fun storeBody(
        state: DispatchState,
        entry: DispatchEntry,
        phase: DispatchPhase.StoringBody,
    ): DispatchTransition {
        val body = phase.outcome.body as? OutcomeBody.Inline ?: return Transition(steps.remove(state, entry))
        val storeBody = DispatchDecision.StoreBody(entry.call.record, phase.name, body)
        return Transition(steps.put(state, entry.copy(phase = phase, dueAt = null)), listOf(storeBody))
    }

    /** Repeats the write of an outcome, or of a release, if the last one isn't known to have committed. */
    fun retry(
        state: DispatchState,
        entry: DispatchEntry,
        row: Row?,
        now: Instant,
    ): DispatchTransition {
        val record = row?.let { codec.decode(it.value).getOrNull() }
        if (record == null || record.attempt != entry.call.attempt) return Transition(steps.remove(state, entry))
        val isUnfinished = record.state == RecordState.SENDING || record.state == RecordState.CLAIMED
        if (!isUnfinished) return Transition(steps.remove(state, entry))
        val current = entry.copy(version = row.version, failedReads = 0)
        val phase = entry.phase
        if (phase is DispatchPhase.Completing) return steps.complete(state, current, phase, now)
        return steps.release(state, current, now)
    }

    private fun recordOutcome(
        state: DispatchState,
        entry: DispatchEntry,
        outcome: CallOutcome,
        now: Instant,
    ): DispatchTransition {
        val body = outcome.body
        if (body is OutcomeBody.Inline && body.base64.length > settings.maxInlineBase64Characters) {
            val name = "${entry.call.record.row}/${entry.call.attempt}"
            return storeBody(state, entry, DispatchPhase.StoringBody(outcome, name))
        }
        return steps.complete(state, entry, DispatchPhase.Completing(outcome, outcome), now)
    }
}
