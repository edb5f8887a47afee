/*
 * Interfaces of the state machines that make all of the system's decisions.
 *
 * An aggregate has no I/O, clock, threads or randomness of its own: from its state, an event and the time it computes
 * its next state and the decisions that its caller has to execute. The daemon and the tests drive the same aggregates.
 */
package org.vanillalink.model

import java.time.Instant

/** The next state of an aggregate and the decisions to execute now. */
data class Transition<out State, out Decision>(
    val state: State,
    val decisions: List<Decision> = emptyList(),
)

/** A pure state machine. */
interface Aggregate<State, in Event, out Decision> {
    /** Applies [event], which occurred at [now], to [state]. */
    fun handle(
        state: State,
        event: Event,
        now: Instant,
    ): Transition<State, Decision>
}
