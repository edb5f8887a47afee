/*
 * The periods in which a daemon makes no decisions because it can't know yet which daemon has control: after its start,
 * after a pause of its process or of its traffic thread, and after the store becomes available again.
 *
 * The peer state of a paused process is as old as the pause, and another daemon may have taken control in the meantime.
 * Responses that queued up during the pause must not lead to orders before peers' messages have been received again.
 */
package org.vanillalink.gateway.control

/** The process started at [startedAt]; times are milliseconds on the steady clock. */
internal class DecisionHoldOff(
    startedAt: Long,
) {
    private var endsAt = startedAt + HOLD_OFF_MILLISECONDS

    /** When the control loop last ran. */
    var lastTickAt = startedAt
        private set

    /** Records that the control loop ran at [now], and starts a hold-off after a pause. */
    fun recordTick(now: Long) {
        if (now - lastTickAt > PROCESS_PAUSE_MILLISECONDS) endsAt = now + HOLD_OFF_MILLISECONDS
        lastTickAt = now
    }

    /** Records at [now] when the traffic thread last ran; while it is paused no message of a peer can arrive. */
    fun recordTrafficThread(
        lastRanAt: Long,
        now: Long,
    ) {
        if (now - lastRanAt > PROCESS_PAUSE_MILLISECONDS) endsAt = now + HOLD_OFF_MILLISECONDS
    }

    /** The store responds again since [now]; peers have not yet reported that it responds to them, too. */
    fun onStoreRegained(now: Long) {
        endsAt = now + HOLD_OFF_MILLISECONDS * 2
    }

    /** Whether decisions are allowed at [now]; false, too, for events between a pause and the next tick. */
    fun isOver(now: Long): Boolean = now >= endsAt && now - lastTickAt <= PROCESS_PAUSE_MILLISECONDS

    private companion object {
        /** Long enough to receive messages of all known peers, so that control isn't taken from its holder. */
        const val HOLD_OFF_MILLISECONDS = 400L

        /** Ten times the loop's period; garbage collections take less. */
        const val PROCESS_PAUSE_MILLISECONDS = 500L
    }
}
