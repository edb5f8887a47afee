/*
 * Notices a group that stands still: no byte has come on any of its answers for longer than its engine can take for a
 * pass. One silent answer alone may have lost its path; all of them together mean that the group waits for a member.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.HostId

/** Progress by target, in milliseconds on the steady clock. Not thread safe. */
class StallWatch(
    private val stallMilliseconds: Long = STALL_MILLISECONDS,
) {
    private class Progress(
        var lastByteAt: Long,
        var outstanding: Int,
    )

    private val progress = HashMap<HostId, Progress>()

    /** A request was sent to [target]. */
    fun begun(
        target: HostId,
        now: Long,
    ) {
        val current = progress.getOrPut(target) { Progress(now, 0) }
        if (current.outstanding == 0) current.lastByteAt = now
        current.outstanding += 1
    }

    /** Bytes of an answer came from [target]. */
    fun moved(
        target: HostId,
        now: Long,
    ) {
        progress[target]?.lastByteAt = now
    }

    /** A request at [target] has ended. */
    fun ended(target: HostId) {
        val current = progress[target] ?: return
        current.outstanding -= 1
        if (current.outstanding <= 0) progress.remove(target)
    }

    /** This process has paused until [now]: what came meanwhile is still to be read. */
    fun resumed(now: Long) {
        progress.values.forEach { it.lastByteAt = now }
    }

    /** Targets with requests under way. */
    fun outstanding(): Set<HostId> = progress.keys.toSet()

    /** Targets with requests under way and nothing heard for too long, and how long. */
    fun stalled(now: Long): Map<HostId, Long> = progress
        .mapValues { now - it.value.lastByteAt }
        .filterValues { it >= stallMilliseconds }

    private companion object {
        /** A pass of five steps with a full batch and a piece of prompt takes up to 150 ms by the engine's figures. */
        const val STALL_MILLISECONDS = 250L
    }
}
