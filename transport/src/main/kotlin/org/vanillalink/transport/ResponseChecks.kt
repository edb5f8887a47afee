/*
 * Checks of a response's head. Part of a late copy of an earlier response that arrives in front of the next one is
 * joined with it into one head, by which it can be recognized: that holds the next one's status line, or fields twice.
 */
package org.vanillalink.transport

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion

private const val VERSION_START = "HTTP/"

/** `HTTP/d.d ddd`, where d is a digit. */
private val STATUS_LINE = Regex("HTTP/\\d\\.\\d \\d{3}")

/** RFC 9110, section 15: others are invalid. */
private val STATUS = Regex("[1-5]\\d\\d")
private val VERSIONS = setOf(HttpVersion.HTTP_1_0.text(), HttpVersion.HTTP_1_1.text())
private const val CHUNKED = "chunked"
private const val TRANSFER_ENCODING = "transfer-encoding"

/** Fields that a response has once at most. */
internal val SINGLE_FIELDS =
    sortedSetOf(
        String.CASE_INSENSITIVE_ORDER,
        "content-length",
        "content-location",
        "content-range",
        "content-type",
        "date",
        "etag",
        "last-modified",
        "location",
        "retry-after",
        TRANSFER_ENCODING,
    )

/** Returns what is wrong with a status line, or null. */
internal fun findStatusLineFault(
    version: String,
    status: String,
    reason: String,
): ResponseFault? = when {
    version !in VERSIONS -> ResponseFault.VERSION
    !STATUS.matches(status) -> ResponseFault.STATUS
    holdsStatusLine(reason) -> ResponseFault.STATUS_LINE_IN_REASON
    else -> null
}

/** Returns what is wrong with the header fields of [response], or null. */
internal fun findFieldFault(response: HttpResponse): ResponseFault? {
    val headers = response.headers()
    return when {
        response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> ResponseFault.PROTOCOL_SWITCH
        holdsStatusLine(headers) -> ResponseFault.STATUS_LINE_IN_FIELD
        !isTransferEncodingKnown(headers) -> ResponseFault.TRANSFER_ENCODING
        else -> null
    }
}

/** Whether a value of [fields] holds the status line of another response. */
internal fun holdsStatusLine(fields: HttpHeaders): Boolean = fields.any { holdsStatusLine(it.value) }

private fun holdsStatusLine(text: String): Boolean = VERSION_START in text && STATUS_LINE.containsMatchIn(text)

/** What is encoded otherwise can't be passed on as the body. */
private fun isTransferEncodingKnown(headers: HttpHeaders): Boolean =
    headers[TRANSFER_ENCODING]?.equals(CHUNKED, ignoreCase = true) ?: true
