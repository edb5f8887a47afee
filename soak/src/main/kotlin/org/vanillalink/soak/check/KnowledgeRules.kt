/*
 * CONFIG and BUDGET: what a daemon must know at the latest, though other daemons or processes learned it. UNREADY is a
 * daemon in touch that says it can't serve.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd

/** The rules on the configuration in force, and on requests that crash targets. */
internal class KnowledgeRules(
    private val index: RecordingIndex,
) {
    fun findings(): List<Finding> = outdated() + deadly() + unready()

    /** A single such answer may cross the start of a disruption. */
    private fun unready() = index.recording.unreadyAnswers
        .groupBy { it.daemon to it.start }
        .values
        .mapNotNull { answers ->
            val inTouch = answers.sortedBy { it.atMs }.filter(index::shouldBeReady)
            val series = inTouch.windowed(UNREADY_ANSWERS).firstOrNull { it.last().atMs - it.first().atMs < UNREADY_MS }
            series?.last()?.let { Finding("UNREADY", it.atMs, it.daemon, null, null, "not ready though in touch") }
        }

    /** Callers send only what the configuration has allowed for longer than it may take to apply. */
    private fun outdated() = index.recording.calls
        .filter { it.end == CallEnd.WHOLE && it.head?.signature == null && it.head?.status in NOT_ALLOWED }
        .filter(index::isInTouch)
        .map { index.finding("CONFIG", it, "answered ${it.head?.status}, which no configuration in force allows") }

    /** Only requests that crash targets come more than once. */
    private fun deadly() = index.recording.calls
        .groupBy { it.request.target to it.request.bodyHash }
        .values
        .filter { it.size > 1 }
        .mapNotNull(::repeated)

    private fun repeated(calls: List<Call>): Finding? {
        val crashes = calls.flatMap { call -> index.runs[call.id].orEmpty().map { it.atMs } }.sorted()
        val learnedMs = (crashes.getOrNull(CRASHES - 1) ?: return null) + index.bounds.stableWindowMs
        val retries = calls.filter { it.startedMs > learnedMs && it.id in index.runs && index.isInTouch(it) }
        if (retries.size <= MOST_RETRIES) return null
        val what = "run in ${retries.size} retries after it had crashed $CRASHES targets, ${crashes.size} in all"
        return index.finding("BUDGET", retries.maxBy { it.startedMs }, what)
    }

    private companion object {
        val NOT_ALLOWED = setOf(401, 403, 404)
        const val UNREADY_ANSWERS = 3
        const val UNREADY_MS = 5_000L
        const val CRASHES = 3
        const val MOST_RETRIES = 3
    }
}
