/*
 * Refusals on the wire: problem details (RFC 9457) with the outcome as an extension member.
 */
package org.vanillalink.transport

import com.fasterxml.jackson.annotation.JsonInclude
import org.vanillalink.model.Refusal
import java.time.Duration

/** The body of a refusal; [outcome] is `not-run` or `unknown`. */
@JsonInclude(JsonInclude.Include.NON_NULL)
data class ProblemDetails(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val outcome: String,
    val requestId: String? = null,
) {
    companion object {
        /** The media type of problem details. */
        const val MEDIA_TYPE = "application/problem+json"
        private const val TYPE_PREFIX = "urn:vanillalink:problem:"

        /** The problem that tells of [refusal]. */
        fun of(
            refusal: Refusal,
            requestId: String? = null,
        ): ProblemDetails = ProblemDetails(
            type = TYPE_PREFIX + refusal.reason.problemType,
            title = refusal.reason.title,
            status = refusal.reason.status,
            detail = refusal.detail,
            outcome = refusal.outcome.wireName,
            requestId = requestId,
        )
    }
}

/** In each refusal: its outcome, `not-run` or `unknown`. */
const val OUTCOME_HEADER = "vanillalink-outcome"

private const val MILLISECONDS_PER_SECOND = 1_000L

/** Writes [refusal] as the whole answer; `Retry-After` is rounded up to whole seconds. */
fun AnswerWriter.refuse(
    refusal: Refusal,
    requestId: String? = null,
) {
    var headers =
        HeaderFields.of("content-type" to ProblemDetails.MEDIA_TYPE, OUTCOME_HEADER to refusal.outcome.wireName)
    refusal.retryAfter?.let { headers = headers.with("retry-after", wholeSeconds(it).toString()) }
    requestId?.let { headers = headers.with("vanillalink-request", it) }
    answer(refusal.reason.status, headers, Json.write(ProblemDetails.of(refusal, requestId)))
}

private fun wholeSeconds(duration: Duration): Long =
    maxOf(1, (duration.toMillis() + MILLISECONDS_PER_SECOND - 1) / MILLISECONDS_PER_SECOND)
