/*
 * TWICE, REFUSED and UNASKED: what targets ran.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.DaemonEvent
import org.vanillalink.soak.record.DaemonEventKind
import org.vanillalink.soak.record.Run

/** The rules on runs, and on processes that end by themselves. */
internal class RunRules(
    private val index: RecordingIndex,
) {
    fun findings(): List<Finding> = twice() + refused() + unasked() + ended()

    private fun twice() = index.runs
        .filter { (id, runs) ->
            runs.size > 1 && index.calls[id]
                ?.request
                ?.kind
                ?.isRepeatable == false
        }.map { (id, runs) -> index.finding("TWICE", index.calls.getValue(id), "run ${runs.size} times") }

    private fun refused() = index.recording.calls
        .filter {
            !it.request.kind.isRepeatable && it.end == CallEnd.WHOLE && it.head?.status in PROMISES &&
                it.id in index.runs
        }.map { index.finding("REFUSED", it, "answered ${it.head?.status} although it ran") }

    private fun unasked() = index.recording.runs.mapNotNull { run ->
        val call = index.calls[run.requestId]
        val what = difference(run, call) ?: return@mapNotNull null
        Finding(
            "UNASKED",
            run.atMs,
            call?.path?.daemon,
            run.target,
            run.requestId,
            what,
            call?.let(index::historyOf).orEmpty(),
        )
    }

    private fun difference(
        run: Run,
        call: Call?,
    ): String? = when {
        call == null -> "nobody sent it".takeUnless { run.atMs > index.lastCallMs - UNFINISHED_MS }
        run.method != call.request.method -> "method ${run.method}"
        run.path != call.request.target -> "path ${run.path}"
        run.bodyHash != call.request.bodyHash -> "another body"
        else -> null
    }

    private fun ended() = index.recording.daemonEvents.filter { it.kind == DaemonEventKind.EXITED }.mapNotNull { exit ->
        val what = unplannedEnd(exit) ?: return@mapNotNull null
        Finding("ENDED", exit.atMs, exit.daemon, null, null, what)
    }

    private fun unplannedEnd(exit: DaemonEvent): String? {
        val before = index.recording.daemonEvents.filter { it.daemon == exit.daemon && it.start == exit.start }
        val isKilled = before.any { it.kind in KILLS }
        val term = before.firstOrNull { it.kind == DaemonEventKind.TERM }
        return when {
            isKilled -> null
            term == null -> "the process ended by itself with code ${exit.exitCode}"
            exit.exitCode != 0 && exit.exitCode != ENDED_BY_TERM -> "code ${exit.exitCode} after SIGTERM"
            else -> null
        }
    }

    private companion object {
        val PROMISES = setOf(408, 421, 429, 503)
        val KILLS = setOf(DaemonEventKind.KILL, DaemonEventKind.KILL_AFTER_GRACE)
        const val ENDED_BY_TERM = 143

        /** Requests sent this shortly before the end of the run may have no record. */
        const val UNFINISHED_MS = 10_000L
    }
}
