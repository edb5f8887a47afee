/*
 * Detects stalled groups: no byte has arrived on any answer of the group for longer than its engine takes for a pass.
 * A single answer without progress may have lost its connection; if all answers stop, the group waits for a member.
 *
 * Before its first byte, an answer is silent for longer, while the prompt is queued and read. This is the usual case in
 * a large fleet, where a daemon rarely has more than one request at a group.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId

/** Nothing has arrived for [milliseconds]; [hasStartedAnswer] is whether any of the answers had begun. */
data class TargetSilence(
    val milliseconds: Long,
    val hasStartedAnswer: Boolean,
)

/** Tracks progress by target; times are milliseconds on the steady clock. Not thread safe. */
class StallDetector(
    private val stallMilliseconds: Long = STALL_MILLISECONDS,
    private val firstByteMilliseconds: Long = FIRST_BYTE_MILLISECONDS,
) {
    private class Progress(
        var lastByteAt: Long,
        var requests: Int,
        /** How many of the [requests] have received bytes of an answer. */
        var startedAnswers: Int = 0,
    )

    private val progress = HashMap<HostId, Progress>()

    fun recordStart(
        target: HostId,
        now: Long,
    ) {
        val current = progress.getOrPut(target) { Progress(now, 0) }
        if (current.requests == 0) current.lastByteAt = now
        current.requests += 1
    }

    /** Records bytes of an answer from [target]; [isFirst] is true for the first bytes of that answer. */
    fun recordProgress(
        target: HostId,
        now: Long,
        isFirst: Boolean,
    ) {
        val current = progress[target] ?: return
        current.lastByteAt = now
        if (isFirst) current.startedAnswers += 1
    }

    /** Records the end of a request at [target]; [hasStartedAnswer] is true if bytes of its answer had arrived. */
    fun recordEnd(
        target: HostId,
        hasStartedAnswer: Boolean,
    ) {
        val current = progress[target] ?: return
        current.requests -= 1
        if (hasStartedAnswer) current.startedAnswers -= 1
        if (current.requests <= 0) progress.remove(target)
    }

    /** Restarts all timers after a pause of this process until [now]: bytes that arrived during it are still unread. */
    fun resetAfterPause(now: Long) {
        progress.values.forEach { it.lastByteAt = now }
    }

    fun targetsWithRequests(): Set<HostId> = progress.keys.toSet()

    /** Stalled targets, with the milliseconds since their last progress. */
    fun stalledTargets(now: Long): Map<HostId, Long> = progress
        .filterValues { now - it.lastByteAt >= stallThreshold(it) }
        .mapValues { now - it.value.lastByteAt }

    /** What the requests at [target] show, or null if there are none. */
    fun silence(
        target: HostId,
        now: Long,
    ): TargetSilence? = progress[target]?.let { TargetSilence(now - it.lastByteAt, it.startedAnswers > 0) }

    private fun stallThreshold(progress: Progress): Long =
        if (progress.startedAnswers > 0) stallMilliseconds else firstByteMilliseconds

    private companion object {
        /** By the engine's figures, a pass of five steps with a full batch and a prompt chunk takes up to 150 ms. */
        const val STALL_MILLISECONDS = 250L

        /** Twice the time to first event of a long prompt; a later first event misses the latency goal anyway. */
        const val FIRST_BYTE_MILLISECONDS = 600L
    }
}
