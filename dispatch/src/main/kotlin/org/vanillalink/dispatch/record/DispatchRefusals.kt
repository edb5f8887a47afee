/*
 * Refusals of calls that may run at most once.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import java.time.Duration
import java.time.Instant

internal class DispatchRefusals(
    private val settings: DispatchSettings,
) {
    /** The time since [since], within the configured limits: the longer a condition lasts, the longer to back off. */
    fun retryAfter(
        since: Instant,
        now: Instant,
    ): Duration = Duration.between(since, now).coerceIn(settings.minRetryAfter, settings.maxRetryAfter)

    fun inProgress(
        since: Instant,
        now: Instant,
    ): Refusal = Refusal(
        RefusalReason.DUPLICATE_IN_PROGRESS,
        RefusalOutcome.UNKNOWN,
        "A call with this idempotency key is in progress; its outcome will be replayed",
        retryAfter(since, now),
    )

    fun keyReused(): Refusal = Refusal(
        RefusalReason.KEY_REUSED,
        RefusalOutcome.NOT_RUN,
        "The idempotency key was used with another method, path or body",
    )

    fun recordUnavailable(
        unavailableSince: Instant,
        now: Instant,
    ): Refusal = Refusal(
        RefusalReason.RECORD_UNAVAILABLE,
        RefusalOutcome.NOT_RUN,
        "This request was not sent; keep its key, since an earlier request with the same key may have run",
        retryAfter(unavailableSince, now),
    )

    fun deadlineExceeded(
        outcome: RefusalOutcome,
        startedAt: Instant,
        now: Instant,
    ): Refusal = Refusal(
        RefusalReason.DEADLINE_EXCEEDED,
        outcome,
        "The deadline passed; ask again with the same key",
        retryAfter(startedAt, now),
    )

    fun targetNotReached(
        startedAt: Instant,
        now: Instant,
    ): Refusal = Refusal(
        RefusalReason.TARGET_FAILED,
        RefusalOutcome.NOT_RUN,
        "The target took nothing of the request",
        retryAfter(startedAt, now),
    )

    fun outcomeUnknown(): Refusal = Refusal(
        RefusalReason.OUTCOME_UNKNOWN,
        RefusalOutcome.UNKNOWN,
        "The call was sent, and whether it ran is not known; it is never sent again under this key",
    )
}
