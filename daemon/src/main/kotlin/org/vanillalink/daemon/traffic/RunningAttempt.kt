/*
 * One attempt of a request on its connection.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.model.AttemptId
import org.vanillalink.transport.OutgoingExchange
import java.time.Instant

/** Attempt [number] under [id]; [target] is null where another failure domain's daemon has the request. */
class RunningAttempt(
    val number: Int,
    val id: AttemptId,
    val target: AttemptTarget?,
    val startedAt: Instant,
) {
    /** The request on its way; set once it is sent. */
    @Volatile
    var exchange: OutgoingExchange? = null

    /** How many pieces of the answer have come, its head among them. */
    @Volatile
    var piecesReceived = 0L
        private set

    /** Whether the answer isn't read now, because its caller reads slowly. */
    @Volatile
    var heldBack = false
        private set

    /** A piece of the answer came; called by one traffic thread at a time. */
    internal fun pieceReceived() {
        piecesReceived += 1
    }

    /** Stops or resumes reading of the answer. */
    internal fun setReading(reading: Boolean) {
        heldBack = !reading
        exchange?.setReading(reading)
    }
}
