/*
 * Notices a group that stands still: no byte has come on any of its answers for longer than its engine can take for a
 * pass. One silent answer alone may have lost its path; all of them together mean that the group waits for a member.
 *
 * An answer that has not begun is silent for longer, while its prompt waits and is read. In a large fleet a daemon
 * hardly ever has more than one request at a group, so this is the usual case there.
 */
package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId

/** Progress by target, in milliseconds on the steady clock. Not thread safe. */
class StallDetector(
    private val stallMilliseconds: Long = STALL_MILLISECONDS,
    private val firstByteMilliseconds: Long = FIRST_BYTE_MILLISECONDS,
) {
    private class Progress(
        var lastByteAt: Long,
        var requests: Int,
        /** Of these, how many have begun to answer. */
        var startedAnswers: Int = 0,
    )

    private val progress = HashMap<HostId, Progress>()

    /** A request was sent to [target]. */
    fun recordStart(
        target: HostId,
        now: Long,
    ) {
        val current = progress.getOrPut(target) { Progress(now, 0) }
        if (current.requests == 0) current.lastByteAt = now
        current.requests += 1
    }

    /** Bytes of an answer came from [target]; [isFirst] tells whether they are its first. */
    fun recordProgress(
        target: HostId,
        now: Long,
        isFirst: Boolean,
    ) {
        val current = progress[target] ?: return
        current.lastByteAt = now
        if (isFirst) current.startedAnswers += 1
    }

    /** A request at [target] has ended; [hasStartedAnswer] tells whether bytes of its answer had come. */
    fun recordEnd(
        target: HostId,
        hasStartedAnswer: Boolean,
    ) {
        val current = progress[target] ?: return
        current.requests -= 1
        if (hasStartedAnswer) current.startedAnswers -= 1
        if (current.requests <= 0) progress.remove(target)
    }

    /** This process has paused until [now]: what came meanwhile is still to be read. */
    fun resetAfterPause(now: Long) {
        progress.values.forEach { it.lastByteAt = now }
    }

    /** Targets with requests under way. */
    fun targetsWithRequests(): Set<HostId> = progress.keys.toSet()

    /** Targets with requests under way and nothing heard for too long, and how long. */
    fun stalledTargets(now: Long): Map<HostId, Long> = progress
        .filterValues { now - it.lastByteAt >= stallThreshold(it) }
        .mapValues { now - it.value.lastByteAt }

    private fun stallThreshold(progress: Progress): Long =
        if (progress.startedAnswers > 0) stallMilliseconds else firstByteMilliseconds

    private companion object {
        /** A pass of five steps with a full batch and a piece of prompt takes up to 150 ms by the engine's figures. */
        const val STALL_MILLISECONDS = 250L

        /** Twice the time that a long prompt takes until its first event; a later one has missed its aim anyway. */
        const val FIRST_BYTE_MILLISECONDS = 600L
    }
}
