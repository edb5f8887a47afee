/*
 * Another failure domain's daemon that a request is passed to.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage

/** Where the daemon takes messages of peers, and the header fields that let a message in. */
data class ForwardTarget(
    val endpoint: Endpoint,
    val pathPrefix: String,
    val credentials: HeaderFields,
) {
    /** [original] as it is passed on. */
    internal fun wrap(
        original: HttpRequestMessage,
        attempt: AttemptId,
    ): HttpRequestMessage {
        val marked = original.headers.without(HOP_HEADERS).with(CallerProtocol.FORWARDED_HEADER, attempt.value)
        val headers = credentials.all.entries.fold(marked) { fields, (name, value) -> fields.with(name, value) }
        return HttpRequestMessage(original.method, pathPrefix + original.target, headers, original.body)
    }

    internal companion object {
        val HOP_HEADERS = setOf("connection", "transfer-encoding", "content-length", "keep-alive", "expect", "host")
    }
}
