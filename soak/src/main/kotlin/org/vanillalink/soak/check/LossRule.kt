/*
 * LOST: a request that was read has no whole answer.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.DaemonEventKind
import org.vanillalink.soak.record.FaultKind

/** The rules on losses; see the users' pages. */
internal class LossRule(
    private val index: RecordingIndex,
) {
    private val bounds = index.bounds
    private val configurations = index.recording.storeEvents.filter { it.kind == FaultKind.CONFIGURATION }

    fun findings(): List<Finding> {
        val lost = index.recording.calls.filter { isCounted(it) }
        val around = lost.mapNotNull { call -> plannedWorkAround(call)?.let { index.finding("LOST", call, it) } }
        val explained = around.map { it.id }.toSet()
        val beside = besideConfigurations(lost.filter { it.id !in explained })
        val kept = keptConnections(lost.filter { it.id !in explained })
        return around + beside + kept
    }

    /** Whether [call] was read, has no whole answer, and nothing of what the pages name excuses it. */
    private fun isCounted(call: Call): Boolean {
        if (!call.isCut || call.end == CallEnd.NOT_SENT || isBehindLastAnswer(call)) return false
        val isRead = index.isPassedOn(call) || call.endedMs - call.sentMs > bounds.lossSlackMs
        return isRead && !isExcused(call)
    }

    /** The answer before it on its connection said that the connection closes; nothing of it reached a target. */
    private fun isBehindLastAnswer(call: Call): Boolean = !index.isPassedOn(call) &&
        index.callsOn(call).any { it.path.position < call.path.position && it.head?.isLast == true }

    private fun isExcused(call: Call): Boolean {
        val usedMs = call.endedMs - call.startedMs
        val isOutOfTime = usedMs >= minOf(call.request.deadlineMilliseconds, call.request.routeTimeoutMilliseconds)
        val isBrokenOff = index.faultsOf(call).any { it.kind.breaksOff }
        val isStoreExcuse = call.request.hasKey && index.isStoreDisrupted(call)
        return isOutOfTime || isBrokenOff || isHarmedAtEachTarget(call) || isStoreExcuse || index.isDisrupted(call)
    }

    /**
     * Whether no answer of [call] could be whole: it was passed on as often as its route allows, and each target closed
     * the connection within its answer or wrote other bytes there.
     */
    private fun isHarmedAtEachTarget(call: Call): Boolean {
        val passages = index.passages[call.id].orEmpty()
        val stutters = index.faultsOf(call).filter { it.kind in STUTTERS }
        return passages.size >= ATTEMPTS &&
            passages.all { passage ->
                passage.end == TARGET_CLOSED ||
                    stutters.any { it.target == passage.target && it.connection == passage.connection }
            }
    }

    private fun plannedWorkAround(call: Call): String? {
        val term = index.termsOf(call).firstOrNull { call.endedMs in it..it + bounds.graceMs + AFTER_GRACE_MS }
        if (term != null) {
            return if (isAtWorkLate(
                    call,
                    term,
                )
            ) {
                null
            } else {
                "cut around a planned stop, sent ${call.sentMs - term} ms after SIGTERM"
            }
        }
        val hangUp =
            index.timesOf(call, DaemonEventKind.HUP).firstOrNull {
                call.startedMs <= it + bounds.configApplyMs && call.endedMs >= it
            }
        return hangUp?.let { "cut after SIGHUP" }
    }

    /** Whether a target was at work on [call] in the last sixth of the grace time, and [call] was sent early enough. */
    private fun isAtWorkLate(
        call: Call,
        termMs: Long,
    ): Boolean {
        val lastSixthMs = termMs + bounds.graceMs * FIVE / SIX
        val isAtWork =
            call.id in index.runs &&
                index.passages[call.id].orEmpty().none { passage ->
                    (passage.endedMs ?: Long.MAX_VALUE) < lastSixthMs
                }
        val wouldEndMs = call.startedMs + call.request.events * call.request.answer.milliseconds
        return isAtWork && call.sentMs <= termMs + LATEST_SENT_MS && maxOf(wouldEndMs, call.endedMs) >= lastSixthMs
    }

    private fun besideConfigurations(lost: List<Call>): List<Finding> {
        val all = index.recording.calls.groupBy { it.path.daemon }
        return lost.groupBy { it.path.daemon }.flatMap { (daemon, ofDaemon) ->
            besideConfigurations(ofDaemon, all.getValue(daemon))
        }
    }

    /** Counts only if a daemon, of whose calls [all] some are [lost], cuts over three times as often as otherwise. */
    private fun besideConfigurations(
        lost: List<Call>,
        all: List<Call>,
    ): List<Finding> {
        val windows = configurations.map { it.fromMs..it.toMs + bounds.configApplyMs + AFTER_GRACE_MS }
        val isBeside = { call: Call -> windows.any { call.endedMs in it } }
        val (besideLost, otherLost) = lost.filterNot(::isNearItsEnd).partition(isBeside)
        val (beside, other) = all.partition(isBeside)
        val isMoreOften = besideLost.size.toLong() * other.size > TIMES * otherLost.size.toLong() * beside.size
        if (!isMoreOften) return emptyList()
        return besideLost.map { index.finding("LOST", it, "cut beside a configuration") }
    }

    private fun isNearItsEnd(call: Call): Boolean =
        (call.endedMs - call.startedMs) * TEN >= call.request.routeTimeoutMilliseconds * SEVEN

    /** Requests of kept connections, passed on to sound targets by daemons in touch; up to three are allowed. */
    private fun keptConnections(lost: List<Call>): List<Finding> {
        val kept =
            lost.filter { call ->
                call.path.position > 1 && call.firstByteMs == null && index.isPassedOn(call) &&
                    index.faultsOf(call).isEmpty() && isInTouch(call)
            }
        return if (kept.size >
            ALLOWED
        ) {
            kept.map { index.finding("LOST", it, "cut on a kept connection, one of ${kept.size}") }
        } else {
            emptyList()
        }
    }

    private fun isInTouch(call: Call): Boolean = index.processOf(call).none {
        it.kind in DISRUPTING && it.atMs in call.startedMs - bounds.stableWindowMs..call.endedMs
    }

    private companion object {
        const val AFTER_GRACE_MS = 1_000L
        const val LATEST_SENT_MS = 3_000L
        const val FIVE = 5
        const val SIX = 6
        const val SEVEN = 7
        const val TEN = 10
        const val TIMES = 3
        const val ALLOWED = 3

        /** On all routes of the soak's configurations. */
        const val ATTEMPTS = 2
        const val TARGET_CLOSED = "target closed"
        val STUTTERS = setOf(FaultKind.STUTTER_WHOLE, FaultKind.STUTTER_PART)
        val DISRUPTING = setOf(DaemonEventKind.STARTED, DaemonEventKind.TERM)
    }
}
