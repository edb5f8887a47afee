/*
 * Work that is due without an event: retries of table calls, time-outs of owner queries, and deadlines.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.model.Transition
import java.time.Instant

internal class DispatchTimer(
    private val settings: DispatchSettings,
    private val steps: DispatchSteps,
    private val starter: CallStarter,
    private val finisher: CallFinisher,
) {
    fun tick(
        state: DispatchState,
        now: Instant,
    ): DispatchTransition {
        val initial: DispatchTransition = Transition(state)
        return state.entries.values.fold(initial) { transition, entry ->
            val next = tickEntry(transition.state, entry, now)
            Transition(next.state, transition.decisions + next.decisions)
        }
    }

    private fun tickEntry(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        val isDue = entry.dueAt?.let { !now.isBefore(it) } ?: false
        val isPastDeadline = !entry.isAnswered && now.isAfter(entry.call.deadline)
        return when (val phase = entry.phase) {
            DispatchPhase.Sending -> {
                if (isPastDeadline) finisher.onDeadlinePassed(state, entry, now) else Transition(state)
            }

            DispatchPhase.Claiming, DispatchPhase.Recording, is DispatchPhase.QueryingOwner -> {
                when {
                    isPastDeadline -> starter.onDeadlinePassed(state, entry, now)
                    !isDue -> Transition(state)
                    phase is DispatchPhase.QueryingOwner -> starter.rereadRow(state, entry, phase)
                    else -> steps.read(state, entry)
                }
            }

            is DispatchPhase.StoringBody, is DispatchPhase.Completing, DispatchPhase.Releasing -> {
                if (isDue) retryRecord(state, entry, now) else Transition(state)
            }
        }
    }

    private fun retryRecord(
        state: DispatchState,
        entry: DispatchEntry,
        now: Instant,
    ): DispatchTransition {
        val phase = entry.phase
        if (now.isAfter(entry.startedAt.plus(settings.recordRetryLimit))) return Transition(steps.remove(state, entry))
        if (phase is DispatchPhase.StoringBody) return finisher.storeBody(state, entry, phase)
        return steps.read(state, entry)
    }
}
