/*
 * Lets operators ask a daemon to finish its requests and end, as SIGTERM does.
 */
package org.vanillalink.daemon.operators

import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseWriter
import java.time.Duration

/** The answer to `POST /drain`; after [drainSeconds] what is still in progress is cut off. */
data class DrainAnswer(
    val daemon: String,
    val drainSeconds: Long,
)

/** [end] begins the end of the process and returns at once. */
internal class DrainPage(
    private val daemon: String,
    private val drainTimeout: Duration,
    private val end: () -> Unit,
) : OperatorsPage {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        if (request.method != "POST") {
            response.respond(HttpStatus.METHOD_NOT_ALLOWED)
            return
        }
        response.answerJson(DrainAnswer(daemon, drainTimeout.toSeconds()), HttpStatus.ACCEPTED)
        end()
    }
}
