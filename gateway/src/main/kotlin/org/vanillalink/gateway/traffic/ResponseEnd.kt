/*
 * What tells a whole response from one that its target broke off.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.transport.HeaderFields

private val SUCCESSES = 200..299
private const val STATUS_NO_CONTENT = 204

/** Responses to requests with this method have no body, whatever their length says. */
internal const val HEAD_METHOD = "HEAD"

/** Whether only the end of its connection says that a response with [headers] is complete. */
internal fun endsWithConnection(headers: HeaderFields): Boolean =
    headers["content-length"] == null && headers["transfer-encoding"] == null

/**
 * Whether a response to a request by [method] was broken off behind its head, as far as can be seen: it is a success,
 * ended with its connection and has no body, though it may have one.
 */
internal fun isBrokenOffBeforeBody(
    method: String,
    status: Int,
    headers: HeaderFields,
    bodySize: Int,
): Boolean = bodySize == 0 &&
    status in SUCCESSES &&
    status != STATUS_NO_CONTENT &&
    method != HEAD_METHOD &&
    endsWithConnection(headers)
