/*
 * How requests and answers are marked on the wire, between callers and this daemon and between it and targets.
 */
package org.vanillalink.gateway.ports

import org.vanillalink.model.WorkspaceId
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage

/** What a caller's request says of itself. */
data class RequestMetadata(
    val requestId: String?,
    val host: String,
    /** How long the caller waits, in milliseconds from sending. */
    val deadlineMilliseconds: Long?,
    val key: String?,
    val model: String?,
    /** The last event of an earlier answer that the caller has; null for a new stream. */
    val lastEventId: Long?,
    val promptTokens: Int,
)

/** What is added to a request on its way to a target. */
data class ForwardingMetadata(
    val target: TargetEntry,
    val workspace: WorkspaceId?,
    val deadlineMilliseconds: Long,
    val lastEventId: Long?,
)

/** What a target's answer says of itself. */
data class ResponseMetadata(
    val requestId: String?,
    /** Whether the answer carries the target's proof that it is its own. */
    val isSigned: Boolean,
    /** Whether the target says that it did not run the request and never will. */
    val isNotRun: Boolean,
    /** The member at fault, where a group's head names it. */
    val faultyTarget: String?,
    /** Whether the body was changed by an encoding that nobody asked for. */
    val isEncoded: Boolean,
    /** Whether the target says that it leaves. */
    val isLeaving: Boolean,
    /** How long the target wants no further requests, in milliseconds, or null where it doesn't say. */
    val retryAfterMilliseconds: Long?,
)

/** Reads and writes the marks. */
interface CallProtocol {
    /** The marks of a caller's request. */
    fun readRequest(request: HttpRequestMessage): RequestMetadata

    /** [request] as it is sent to a target. */
    fun buildForwardedRequest(
        request: HttpRequestMessage,
        metadata: ForwardingMetadata,
    ): HttpRequestMessage

    /** The marks of a target's answer. */
    fun readResponse(
        status: Int,
        headers: HeaderFields,
    ): ResponseMetadata

    /** The fields of a target's answer that go to the caller. */
    fun responseHeaders(headers: HeaderFields): HeaderFields
}
