/*
 * What is due without an event: retries of table calls, owners that don't answer, deadlines.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.model.Transition
import java.time.Instant

internal class DispatchTimer(
    private val settings: DispatchSettings,
    private val steps: DispatchSteps,
    private val start: RecordStart,
    private val finish: RecordFinish,
) {
    fun tick(
        state: DispatchState,
        now: Instant,
    ): DispatchTransition {
        val unchanged: DispatchTransition = Transition(state)
        return state.entries.values.fold(unchanged) { done, entry ->
            val next = tickEntry(done.state, entry, now)
            Transition(next.state, done.decisions + next.decisions)
        }
    }

    private fun tickEntry(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        val due = entry.dueAt?.let { !now.isBefore(it) } ?: false
        val pastDeadline = !entry.answered && now.isAfter(entry.call.deadline)
        return when (val phase = entry.phase) {
            DispatchPhase.Sending -> {
                if (pastDeadline) finish.pastDeadline(state, entry, now) else Transition(state)
            }

            DispatchPhase.Claiming, DispatchPhase.Recording, is DispatchPhase.AskingOwner -> {
                when {
                    pastDeadline -> start.pastDeadline(state, entry, now)
                    !due -> Transition(state)
                    phase is DispatchPhase.AskingOwner -> start.lookAgain(state, entry, phase)
                    else -> steps.read(state, entry)
                }
            }

            is DispatchPhase.StoringBody, is DispatchPhase.Completing, DispatchPhase.Releasing -> {
                if (due) retryRecord(state, entry, now) else Transition(state)
            }
        }
    }

    private fun retryRecord(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        val phase = entry.phase
        if (now.isAfter(entry.startedAt.plus(settings.recordRetryLimit))) return Transition(steps.drop(state, entry))
        if (phase is DispatchPhase.StoringBody) return finish.storeBody(state, entry, phase)
        return steps.read(state, entry)
    }
}
