/*
 * Refusals of requests, as reported to callers.
 *
 * NOT_RUN is a guarantee: no target has executed, or will execute, any part of the request. Where this can't be
 * guaranteed the outcome is UNKNOWN.
 */
package org.vanillalink.model

import java.time.Duration

/** Whether the refused request may have been executed. */
enum class RefusalOutcome(
    val wireName: String,
) {
    NOT_RUN("not-run"),
    UNKNOWN("unknown"),
}

/** The reasons for a refusal, each with its HTTP status and problem type. */
enum class RefusalReason(
    val status: Int,
    val problemType: String,
    val title: String,
) {
    MALFORMED_REQUEST(400, "malformed-request", "The request is malformed"),
    UNAUTHENTICATED(401, "unauthenticated", "The workspace's key is missing or wrong"),
    FORBIDDEN(403, "forbidden", "The workspace may not call this service"),
    UNKNOWN_SERVICE(404, "unknown-service", "No such service is configured"),
    DUPLICATE_IN_PROGRESS(409, "in-progress", "A request with the same idempotency key is in progress"),
    KEY_REUSED(422, "idempotency-key-reused", "The idempotency key belongs to another request"),
    REQUEST_TOO_LARGE(413, "request-too-large", "The request is larger than allowed"),
    HEADERS_TOO_LARGE(431, "headers-too-large", "The request's header fields are larger than allowed"),
    POISON_REQUEST(422, "poison-request", "Targets failed each time they ran this request"),
    POISON_SUSPECTED(503, "poison-suspected", "Targets failed when they began to answer requests like this one"),
    OVERLOADED(503, "overloaded", "No capacity within the request's deadline"),
    NO_SERVING_TARGET(503, "no-serving-target", "No target serves this service now"),
    RECORD_UNAVAILABLE(503, "record-unavailable", "The request could not be recorded, so it was not sent"),
    NOT_READY(503, "not-ready", "This daemon is not ready or is shutting down"),
    DEADLINE_EXCEEDED(504, "deadline-exceeded", "The request's deadline passed"),
    TARGET_FAILED(502, "target-failed", "The target failed while it had the request"),
    ANSWER_INCOMPLETE(502, "answer-incomplete", "The target's answer was not whole"),
    OUTCOME_UNKNOWN(502, "outcome-unknown", "Whether the request ran is not known"),
}

/** A typed refusal. [retryAfter] is derived from the system's state; null where a retry can't succeed. */
data class Refusal(
    val reason: RefusalReason,
    val outcome: RefusalOutcome,
    val detail: String,
    val retryAfter: Duration? = null,
)
