/*
 * Wire format of refusals: problem details (RFC 9457) with the outcome as an extension member.
 */
package org.vanillalink.transport

import com.fasterxml.jackson.annotation.JsonInclude
import org.vanillalink.model.Refusal
import java.time.Duration

/** The response body of a refusal; [outcome] is `not-run` or `unknown`. */
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
        /** The media type (RFC 9457). */
        const val MEDIA_TYPE = "application/problem+json"
        private const val TYPE_PREFIX = "urn:vanillalink:problem:"

        /** Creates the problem details of [refusal]. */
        fun from(
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

/** Header field of each refusal with its outcome, `not-run` or `unknown`. */
const val OUTCOME_HEADER = "vanillalink-outcome"

private const val MILLISECONDS_PER_SECOND = 1_000L
private const val MILLISECONDS_PER_TENTH = 100L

/** Precision of `Retry-After`: whole seconds (RFC 9110), or tenths of a second for callers that parse fractions. */
enum class RetryAfterPrecision { SECONDS, TENTHS }

/** Responds with [refusal] as problem details; `Retry-After` is rounded up to the [precision]. */
fun ResponseWriter.refuse(
    refusal: Refusal,
    requestId: String? = null,
    precision: RetryAfterPrecision = RetryAfterPrecision.SECONDS,
) {
    var headers =
        HeaderFields.of("content-type" to ProblemDetails.MEDIA_TYPE, OUTCOME_HEADER to refusal.outcome.wireName)
    refusal.retryAfter?.let { headers = headers.with("retry-after", formatRetryAfter(it, precision)) }
    requestId?.let { headers = headers.with("vanillalink-request", it) }
    respond(refusal.reason.status, headers, Json.write(ProblemDetails.from(refusal, requestId)))
}

private fun formatRetryAfter(
    duration: Duration,
    precision: RetryAfterPrecision,
): String {
    val unit = if (precision == RetryAfterPrecision.SECONDS) MILLISECONDS_PER_SECOND else MILLISECONDS_PER_TENTH
    val units = maxOf(1, (duration.toMillis() + unit - 1) / unit)
    if (precision == RetryAfterPrecision.SECONDS) return units.toString()
    val unitsPerSecond = MILLISECONDS_PER_SECOND / MILLISECONDS_PER_TENTH
    return "${units / unitsPerSecond}.${units % unitsPerSecond}"
}
