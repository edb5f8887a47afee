/*
 * When a daemon decides nothing because it can't know yet who has control: at its start, right after its process was
 * paused, and when the store has just come back.
 *
 * What a paused process knows of its peers is as old as the pause, and another daemon may have taken control meanwhile.
 * Answers that waited for it must not lead to orders before it has heard of the others again.
 */
package org.vanillalink.gateway.control

/** Begins at [startedAt]; times are milliseconds on the steady clock. */
internal class DecisionHoldOff(
    startedAt: Long,
) {
    private var endsAt = startedAt + HOLD_OFF_MILLISECONDS

    /** When the control loop last ran. */
    var lastTickAt = startedAt
        private set

    /** The control loop runs at [now]. */
    fun recordTick(now: Long) {
        if (now - lastTickAt > PROCESS_PAUSE_MILLISECONDS) endsAt = now + HOLD_OFF_MILLISECONDS
        lastTickAt = now
    }

    /** The store answers again since [now]; peers that it answers as well haven't said so yet. */
    fun onStoreRegained(now: Long) {
        endsAt = now + HOLD_OFF_MILLISECONDS * 2
    }

    /** Whether decisions may be taken at [now], also by what arrives before the loop has run after a pause. */
    fun isOver(now: Long): Boolean = now >= endsAt && now - lastTickAt <= PROCESS_PAUSE_MILLISECONDS

    private companion object {
        /** Long enough to hear of the peers that are known, so that control isn't taken from one that has it. */
        const val HOLD_OFF_MILLISECONDS = 400L

        /** Ten times the loop's period; a collection of garbage takes less. */
        const val PROCESS_PAUSE_MILLISECONDS = 500L
    }
}
