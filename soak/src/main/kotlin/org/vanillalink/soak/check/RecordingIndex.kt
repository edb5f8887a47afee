/*
 * A recording, indexed for the rules.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.Call
import org.vanillalink.soak.record.DaemonEvent
import org.vanillalink.soak.record.DaemonEventKind
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recording
import org.vanillalink.soak.record.UnreadyAnswer

/** Answers what the rules ask of [recording]. */
internal class RecordingIndex(
    val recording: Recording,
) {
    val bounds = recording.bounds
    val calls = recording.calls.associateBy { it.id }
    val runs = recording.runs.groupBy { it.requestId }
    val passages = recording.passages.groupBy { it.requestId }
    private val faults = recording.faults.filter { it.requestId != null }.groupBy { it.requestId }
    private val crashes = recording.faults.filter { it.kind == FaultKind.TARGET_CRASH }.groupBy { it.target }
    private val faultsOfConnections =
        recording.faults.filter { it.connection != null }.groupBy { it.target to it.connection }
    private val events = recording.daemonEvents.groupBy { it.daemon }
    private val connections = recording.calls.groupBy { it.path.connection }

    /** When the last call ended. */
    val lastCallMs = recording.calls.maxOfOrNull { it.endedMs } ?: 0

    /** All calls on the connection of [call]. */
    fun callsOn(call: Call): List<Call> = connections.getValue(call.path.connection)

    /** Whether the request reached a target. */
    fun isPassedOn(call: Call) = call.id in runs || call.id in passages

    /** The faults that met the request of [call] at its targets. */
    fun faultsOf(call: Call): List<InjectedFault> = faults[call.id].orEmpty() + crashesUnder(call)

    /** What happened on the connections to targets that [call] was passed on over, up to its end. */
    private fun connectionFaultsOf(call: Call): List<InjectedFault> = passages[call.id].orEmpty().flatMap { passage ->
        faultsOfConnections[passage.target to passage.connection].orEmpty().filter { it.atMs <= call.endedMs }.takeLast(
            SHOWN,
        )
    }

    private fun crashesUnder(call: Call) = targetsOf(call).flatMap { target ->
        crashes[target].orEmpty().filter { it.atMs in call.startedMs..call.endedMs }
    }

    fun targetsOf(call: Call): Set<String> =
        runs[call.id].orEmpty().map { it.target }.toSet() + passages[call.id].orEmpty().map { it.target }

    /** The events of the process that took [call]. */
    fun processOf(call: Call): List<DaemonEvent> = events[call.path.daemon].orEmpty().filter {
        it.start ==
            call.path.start
    }

    fun termsOf(call: Call): List<Long> = timesOf(call, DaemonEventKind.TERM)

    fun timesOf(
        call: Call,
        kind: DaemonEventKind,
    ): List<Long> = processOf(call).filter { it.kind == kind }.map { it.atMs }

    /** Whether the daemon of [call] was killed, started or paused from the stable window before it to its end. */
    fun isDisrupted(call: Call): Boolean {
        val span = call.startedMs - bounds.stableWindowMs..call.endedMs
        return processOf(call).any { it.kind in UNPLANNED && it.atMs in span } || isPausedIn(processOf(call), span)
    }

    /** Whether the daemon of [call] is in touch, as the users' pages have it, from the start of [call] to its end. */
    fun isInTouch(call: Call): Boolean = isInTouch(processOf(call), call.startedMs, call.endedMs)

    /**
     * Whether the process that gave [answer] was in touch then, has had the time to start, and was not asked to end:
     * from then on it isn't to be ready.
     */
    fun shouldBeReady(answer: UnreadyAnswer): Boolean {
        val process = events[answer.daemon].orEmpty().filter { it.start == answer.start }
        val isStopping = process.any { it.kind == DaemonEventKind.TERM && it.atMs <= answer.atMs }
        val isStarting = process.any { it.kind == DaemonEventKind.STARTED && it.atMs + bounds.recoveryMs > answer.atMs }
        return !isStopping && !isStarting && isInTouch(process, answer.atMs, answer.atMs)
    }

    private fun isInTouch(
        process: List<DaemonEvent>,
        fromMs: Long,
        toMs: Long,
    ): Boolean {
        val span = fromMs - bounds.stableWindowMs..toMs
        val isDisturbed = process.any { it.kind in DISTURBING && it.atMs in span } || isPausedIn(process, span)
        return !isDisturbed && !isStoreDisrupted(fromMs, toMs)
    }

    private fun isPausedIn(
        process: List<DaemonEvent>,
        span: LongRange,
    ): Boolean {
        val before = process.filter { it.kind in PAUSES && it.atMs <= span.first }.maxByOrNull { it.atMs }
        return before?.kind == DaemonEventKind.PAUSE
    }

    /** Whether the store was disrupted from the stable window before [call] to its end. */
    fun isStoreDisrupted(call: Call): Boolean = isStoreDisrupted(call.startedMs, call.endedMs)

    private fun isStoreDisrupted(
        fromMs: Long,
        toMs: Long,
    ): Boolean = recording.storeEvents
        .filter { it.kind != FaultKind.CONFIGURATION }
        .any { it.fromMs <= toMs && it.toMs >= fromMs - bounds.stableWindowMs }

    /** What is worth knowing of [call] in a finding. */
    fun historyOf(call: Call): String {
        val earlier = connections.getValue(call.path.connection).filter { it.path.position <= call.path.position }
        val connection =
            earlier.takeLast(SHOWN).joinToString(" ") { other ->
                "${other.id}:${other.head?.status ?: "-"}/${other.end}@${other.startedMs}-${other.endedMs}"
            }
        val term =
            termsOf(
                call,
            ).lastOrNull { it <= call.endedMs }?.let { "${call.endedMs - it} ms after SIGTERM at $it" }
        val process = processOf(call).joinToString(" ") { "${it.kind}@${it.atMs}" }
        val targets =
            passages[call.id].orEmpty().joinToString(" ") {
                "${it.target}#${it.connection}.${it.position}@${it.startedMs}-${it.endedMs} ${it.end}"
            }
        val runs = runs[call.id].orEmpty().joinToString(" ") { "${it.target}@${it.atMs}" }
        val faults =
            (faultsOf(call) + connectionFaultsOf(call)).distinct().joinToString("; ") {
                "${it.kind}@${it.atMs} ${it.target}#${it.connection} ${it.detail}"
            }
        return "kind=${call.request.kind} style=${call.style} started=${call.startedMs} sent=${call.sentMs} " +
            "first=${call.firstByteMs} ended=${call.endedMs} end=${call.end} status=${call.head?.status} " +
            "detail=\"${call.detail}\" pieces=${call.content.pieces.takeLast(SHOWN)} events=${call.request.events} " +
            "last=${call.head?.isLast} connection=${call.path.connection}.${call.path.position} term=[$term] " +
            "process=[$process] passages=[$targets] runs=[$runs] faults=[$faults] before=[$connection]"
    }

    /** A broken [rule] of [call]. */
    fun finding(
        rule: String,
        call: Call,
        what: String,
    ) = Finding(
        rule,
        call.endedMs,
        call.path.daemon,
        targetsOf(call).joinToString(","),
        call.id,
        what,
        historyOf(call),
    )

    private companion object {
        const val SHOWN = 4
        val UNPLANNED = setOf(DaemonEventKind.KILL, DaemonEventKind.PAUSE, DaemonEventKind.CONTINUE)
        val DISTURBING =
            UNPLANNED + setOf(DaemonEventKind.STARTED, DaemonEventKind.TERM, DaemonEventKind.KILL_AFTER_GRACE)
        val PAUSES = setOf(DaemonEventKind.PAUSE, DaemonEventKind.CONTINUE)
    }
}
