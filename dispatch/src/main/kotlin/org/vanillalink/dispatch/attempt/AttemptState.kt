/*
 * How far the answer to one model request is.
 */
package org.vanillalink.dispatch.attempt

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import java.time.Duration
import java.time.Instant

private const val DEFAULT_ATTEMPTS = 3
private val DEFAULT_LONGEST_RETRY_AFTER = Duration.ofSeconds(30)

/** Settings of attempts. */
data class AttemptSettings(
    val attemptLimit: Int = DEFAULT_ATTEMPTS,
    val shortestRetryAfter: Duration = Duration.ofSeconds(1),
    val longestRetryAfter: Duration = DEFAULT_LONGEST_RETRY_AFTER,
)

/** The attempt whose tokens count; [seenTokens] is one more than the greatest token index that it is past. */
data class CurrentAttempt(
    val attempt: AttemptId,
    val target: HostId,
    val seenTokens: Long,
)

/**
 * One request without a record. [repeatable] is false for a plain service's call, which is never sent again after a
 * byte may have reached a target. [resumable] says whether the service's engine takes `vanillalink-resume-from`. The
 * caller has the tokens 0 until [tokensGiven]. [mayHaveRun] stays false while certainly no target got any part of it.
 */
data class AttemptState(
    val startedAt: Instant,
    val resumable: Boolean,
    val repeatable: Boolean = true,
    val current: CurrentAttempt? = null,
    val attemptsMade: Int = 0,
    val tokensGiven: Long = 0,
    val mayHaveRun: Boolean = false,
    val failedTargets: Set<HostId> = emptySet(),
    val ended: Boolean = false,
)
