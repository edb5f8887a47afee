/*
 * A daemon as a process, and what the operator does to it.
 */
package org.vanillalink.soak.deployment

import org.vanillalink.model.Endpoint
import org.vanillalink.soak.record.DaemonEvent
import org.vanillalink.soak.record.DaemonEventKind
import org.vanillalink.soak.record.Recorder
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Where a daemon is, and how it is started. */
internal class DaemonPlace(
    val name: String,
    val failureDomain: String,
    val callers: Endpoint,
    val readiness: Endpoint,
    val command: List<String>,
    val log: Path,
)

/** The processes of one daemon, one after the other. */
internal class DaemonProcess(
    val place: DaemonPlace,
    private val recorder: Recorder,
    private val graceMs: Long,
) {
    /** How often it was started. */
    @Volatile
    var start = 0
        private set

    /** Whether a fault is being played on it. */
    @Volatile
    var isInUse = false

    @Volatile
    private var process: Process? = null

    val name: String get() = place.name
    val isRunning: Boolean get() = process?.isAlive == true

    @Synchronized
    fun start() {
        start += 1
        val number = start
        val builder = ProcessBuilder(place.command).redirectErrorStream(true)
        builder.environment().remove("JAVA_TOOL_OPTIONS")
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(place.log.toFile()))
        val started = builder.start()
        process = started
        record(number, DaemonEventKind.STARTED)
        started.onExit().thenAccept { record(number, DaemonEventKind.EXITED, it.exitValue()) }
    }

    /** Asks the process to end. */
    fun terminate() = signal(DaemonEventKind.TERM, "TERM")

    fun hangUp() = signal(DaemonEventKind.HUP, "HUP")

    fun pause() = signal(DaemonEventKind.PAUSE, "STOP")

    fun goOn() = signal(DaemonEventKind.CONTINUE, "CONT")

    fun kill() {
        record(start, DaemonEventKind.KILL)
        process?.destroyForcibly()?.waitFor()
    }

    /** Waits for the end of the process, which is killed once the grace time since its SIGTERM at [termMs] is over. */
    fun awaitEnd(termMs: Long) {
        val current = process ?: return
        val left = termMs + graceMs - recorder.now()
        if (current.waitFor(left.coerceAtLeast(0), TimeUnit.MILLISECONDS)) return
        record(start, DaemonEventKind.KILL_AFTER_GRACE)
        current.destroyForcibly().waitFor()
    }

    /** Ends the process at the end of the run, without a record. */
    fun dispose() {
        process?.destroyForcibly()?.waitFor()
    }

    private fun signal(
        kind: DaemonEventKind,
        signal: String,
    ) {
        val current = process?.takeIf { it.isAlive } ?: return
        record(start, kind)
        ProcessBuilder("kill", "-$signal", "${current.pid()}").start().waitFor()
    }

    private fun record(
        number: Int,
        kind: DaemonEventKind,
        exitCode: Int? = null,
    ) {
        recorder.add(DaemonEvent(name, number, kind, recorder.now(), exitCode))
    }
}
