/*
 * Notices a group that stands still: no byte has come on any of its answers for longer than its engine can take for a
 * pass. One silent answer alone may have lost its path; all of them together mean that the group waits for a member.
 *
 * An answer that has not begun is silent for longer, while its prompt waits and is read. In a large fleet a daemon
 * hardly ever has more than one request at a group, so this is the usual case there.
 */
package org.vanillalink.serving.choice

import org.vanillalink.model.HostId

/** Progress by target, in milliseconds on the steady clock. Not thread safe. */
class StallWatch(
    private val stallMilliseconds: Long = STALL_MILLISECONDS,
    private val beginningMilliseconds: Long = BEGINNING_MILLISECONDS,
) {
    private class Progress(
        var lastByteAt: Long,
        var outstanding: Int,
        /** Of these, how many have begun to answer. */
        var answering: Int = 0,
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

    /** Bytes of an answer came from [target]; [isFirst] tells whether they are its first. */
    fun moved(
        target: HostId,
        now: Long,
        isFirst: Boolean,
    ) {
        val current = progress[target] ?: return
        current.lastByteAt = now
        if (isFirst) current.answering += 1
    }

    /** A request at [target] has ended; [hadBegun] tells whether bytes of its answer had come. */
    fun ended(
        target: HostId,
        hadBegun: Boolean,
    ) {
        val current = progress[target] ?: return
        current.outstanding -= 1
        if (hadBegun) current.answering -= 1
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
        .filterValues { now - it.lastByteAt >= bound(it) }
        .mapValues { now - it.value.lastByteAt }

    private fun bound(progress: Progress): Long =
        if (progress.answering > 0) stallMilliseconds else beginningMilliseconds

    private companion object {
        /** A pass of five steps with a full batch and a piece of prompt takes up to 150 ms by the engine's figures. */
        const val STALL_MILLISECONDS = 250L

        /** Twice the time that a long prompt takes until its first event; a later one has missed its aim anyway. */
        const val BEGINNING_MILLISECONDS = 600L
    }
}
