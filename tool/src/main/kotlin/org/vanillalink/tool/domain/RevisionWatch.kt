/*
 * Waits until a revision is in force at every daemon.
 */
package org.vanillalink.tool.domain

import org.vanillalink.tool.DaemonMessage
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.Fleet
import java.time.Duration

/** Polls every daemon of [fleet] for up to [timeout]. */
internal class RevisionWatch(
    private val fleet: Fleet,
    private val timeout: Duration,
) {
    /** Returns DONE once all daemons have [revision] or a later one, else NOT_YET after a line for each that lags. */
    fun await(revision: Long): ExitCode {
        val deadline = System.nanoTime() + timeout.toNanos()
        var laggingDaemons = describeLaggingDaemons(revision)
        while (laggingDaemons.isNotEmpty() && System.nanoTime() < deadline) {
            Thread.sleep(POLL_INTERVAL_MILLISECONDS)
            laggingDaemons = describeLaggingDaemons(revision)
        }
        laggingDaemons.forEach { println(it) }
        if (laggingDaemons.isNotEmpty()) return ExitCode.NOT_YET
        println("revision $revision is in force at every daemon")
        return ExitCode.DONE
    }

    private fun describeLaggingDaemons(revision: Long): List<String> =
        fleet.queryAll(Fleet.DAEMONS_PATH, DaemonMessage::class.java, isQuiet = true).mapNotNull { result ->
            result.response.fold(
                { "could not ask ${Fleet.describe(result)}: ${it.detail}" },
                { state ->
                    val revisionInForce = state.revision ?: 0
                    "${state.daemon} has revision $revisionInForce in force".takeIf { revisionInForce < revision }
                },
            )
        }

    private companion object {
        const val POLL_INTERVAL_MILLISECONDS = 200L
    }
}
