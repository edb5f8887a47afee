/*
 * Waits until a revision is in force at every daemon.
 */
package org.vanillalink.tool.domain

import org.vanillalink.tool.DaemonMessage
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.Fleet
import java.time.Duration

/** Asks [fleet] again and again for up to [timeout]. */
internal class RevisionWatch(
    private val fleet: Fleet,
    private val timeout: Duration,
) {
    /** Gives DONE once all daemons have [revision] or a later one, else NOT_YET with a line for each that lacks it. */
    fun await(revision: Long): ExitCode {
        val deadline = System.nanoTime() + timeout.toNanos()
        var lacking = lacking(revision)
        while (lacking.isNotEmpty() && System.nanoTime() < deadline) {
            Thread.sleep(POLL_MILLISECONDS)
            lacking = lacking(revision)
        }
        lacking.forEach { println(it) }
        if (lacking.isNotEmpty()) return ExitCode.NOT_YET
        println("revision $revision is in force at every daemon")
        return ExitCode.DONE
    }

    private fun lacking(revision: Long): List<String> =
        fleet.queryAll(Fleet.DAEMONS_PATH, DaemonMessage::class.java, isQuiet = true).mapNotNull { result ->
            result.response.fold(
                { "could not ask ${Fleet.describe(result)}: ${it.detail}" },
                { state ->
                    val held = state.revision ?: 0
                    "${state.daemon} has revision $held in force".takeIf { held < revision }
                },
            )
        }

    private companion object {
        const val POLL_MILLISECONDS = 200L
    }
}
