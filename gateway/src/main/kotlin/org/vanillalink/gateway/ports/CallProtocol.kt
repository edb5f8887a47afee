/*
 * The header fields of requests and responses, between callers and this daemon and between it and targets.
 */
package org.vanillalink.gateway.ports

import org.vanillalink.model.WorkspaceId
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestMessage

/** The metadata of a caller's request. */
data class RequestMetadata(
    val requestId: String?,
    val host: String,
    /** How long the caller waits, counted from when it sent the request. */
    val deadlineMilliseconds: Long?,
    val key: String?,
    val model: String?,
    /** The id of the last event that the caller received, when it resumes a stream; null for a new stream. */
    val lastEventId: Long?,
    val promptTokens: Int,
    /** The ids of the parts of the prompt that other requests may have in common with this one, in order. */
    val sharedPromptParts: List<String> = emptyList(),
    /** The caller's estimate of the tokens of the answer, or null if it gave none that can be used. */
    val answerTokens: Int? = null,
)

/** The metadata that is added to a request forwarded to a target. */
data class ForwardingMetadata(
    val target: TargetEntry,
    val workspace: WorkspaceId?,
    val deadlineMilliseconds: Long,
    val lastEventId: Long?,
    /** The place of the request in the target's queue, where 0 is the first, or null if it has none. */
    val priority: Int? = null,
)

/** What a target's response says about the requests per second that it takes from all daemons together. */
sealed interface NamedLimit {
    /** The response names no limit. */
    data object None : NamedLimit

    /** A limit of [requests] per second. */
    data class PerSecond(
        val requests: Double,
    ) : NamedLimit

    /** The response names a limit that is not a single decimal number; [text] is its beginning. */
    data class Unreadable(
        val text: String,
    ) : NamedLimit
}

/** The metadata of a target's response. */
data class ResponseMetadata(
    val requestId: String?,
    /** Whether the response carries the target's signature. */
    val isSigned: Boolean,
    /** Whether the target reports that it has not executed the request and never will. */
    val isNotRun: Boolean,
    /** The faulty member of the group, where the head names it. */
    val faultyTarget: String?,
    /** Whether the body has a content encoding, which was not requested. */
    val isEncoded: Boolean,
    /** Whether the target announces that it leaves. */
    val isLeaving: Boolean,
    /** How long the target wants no further requests, or null where it sent no Retry-After. */
    val retryAfterMilliseconds: Long?,
    val limit: NamedLimit = NamedLimit.None,
)

/** Reads and writes the metadata. */
interface CallProtocol {
    fun readRequest(request: HttpRequestMessage): RequestMetadata

    /** Returns [request] as it is sent to a target. */
    fun buildForwardedRequest(
        request: HttpRequestMessage,
        metadata: ForwardingMetadata,
    ): HttpRequestMessage

    fun readResponse(
        status: Int,
        headers: HeaderFields,
    ): ResponseMetadata

    /** Whether a caller takes [status] for the promise that its request has not run and never will. */
    fun promisesNotRun(status: Int): Boolean

    /** Returns the header fields of a target's response that are passed to the caller. */
    fun responseHeaders(headers: HeaderFields): HeaderFields
}
