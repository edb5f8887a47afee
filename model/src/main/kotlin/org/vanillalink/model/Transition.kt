/*
 * The shape of every decision in the system.
 *
 * An aggregate is free of I/O, clocks, threads and randomness of its own: it takes its state, an event and the time,
 * and gives its next state with the decisions that somebody else has to carry out. The daemon and the tests drive the
 * same aggregates.
 */
package org.vanillalink.model

import java.time.Instant

/** The next state of an aggregate and what has to be done now. */
data class Transition<out State, out Decision>(
    val state: State,
    val decisions: List<Decision> = emptyList(),
)

/** A set of rules over one kind of state. */
interface Aggregate<State, in Event, out Decision> {
    /** Applies [event], which happened at [now], to [state]. */
    fun handle(
        state: State,
        event: Event,
        now: Instant,
    ): Transition<State, Decision>
}
