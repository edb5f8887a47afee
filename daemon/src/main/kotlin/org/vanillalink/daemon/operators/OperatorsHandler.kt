/*
 * The operators' port: health, metrics, the time line, and the configuration.
 */
package org.vanillalink.daemon.operators

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.vanillalink.daemon.timeline.EventLog
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import java.security.MessageDigest

/** Answers a value as JSON. */
internal fun ResponseWriter.answerJson(
    value: Any,
    status: Int = HttpStatus.OK,
) = respond(status, HeaderFields.of("content-type" to "application/json"), Json.write(value))

internal object HttpStatus {
    const val OK = 200
    const val ACCEPTED = 202
    const val BAD_REQUEST = 400
    const val UNAUTHORIZED = 401
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val UNAVAILABLE = 503
}

/** Answers one path of the operators' port. */
fun interface OperatorsPage {
    /** Answers [request]. */
    fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    )
}

/** Passes requests to [pages] by path; everything but health needs [secret], where there is one. */
class OperatorsHandler(
    private val secret: String?,
    private val pages: Map<String, OperatorsPage>,
) : HttpRequestHandler {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val page = pages[request.path]
        when {
            page == null -> response.respond(HttpStatus.NOT_FOUND)
            request.path !in OPEN_PATHS && !isAllowed(request) -> response.respond(HttpStatus.UNAUTHORIZED)
            else -> page.handle(request, response)
        }
    }

    private fun isAllowed(request: HttpRequestMessage): Boolean {
        val expected = secret ?: return true
        val given = request.headers["authorization"].orEmpty().removePrefix("Bearer ")
        return MessageDigest.isEqual(given.encodeToByteArray(), expected.encodeToByteArray())
    }

    companion object {
        private val OPEN_PATHS = setOf("/healthz", "/readyz")

        /** The metrics page in Prometheus form. */
        fun metrics(registry: PrometheusMeterRegistry) = OperatorsPage { _, answer ->
            val headers = HeaderFields.of("content-type" to "text/plain; version=0.0.4")
            answer.respond(HttpStatus.OK, headers, registry.scrape().encodeToByteArray())
        }

        /** This process's part of the time line, after the sequence number in the query. */
        fun events(log: EventLog) = OperatorsPage { request, answer ->
            answer.answerJson(log.after(request.queryParameter("after")?.toLongOrNull() ?: 0))
        }
    }
}
