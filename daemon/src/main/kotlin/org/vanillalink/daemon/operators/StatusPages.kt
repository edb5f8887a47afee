/*
 * Answers pages that read the control thread's state.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.control.DaemonControl
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.transport.ResponseWriter

/** Reads on the control thread and answers as JSON. */
internal class StatusPages(
    private val loop: ControlLoop,
) {
    /** Answers what [read] gives. */
    fun answer(
        answer: ResponseWriter,
        read: (DaemonControl) -> Any,
    ) {
        loop.ask(read).thenAccept { answer.answerJson(it) }
    }
}
