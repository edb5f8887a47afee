/*
 * The timeline merged from several daemons.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.DaemonId
import org.vanillalink.model.TimelineEvent
import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.ScriptedDaemon
import org.vanillalink.tool.runTool
import org.vanillalink.tool.unreachableEndpoint
import org.vanillalink.transport.Json
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class TimelineCommandTest {
    private val forwarded = event("a", 1, 3, "request-forwarded", "request" to "r1", "forwarding-attempt" to "r1.1")
    private val received =
        event(
            "b",
            1,
            4,
            "forwarded-request-arrived",
            "request" to "r2",
            "forwarding-attempt" to "r1.1",
        )
    private val started = event("b", 2, 4, "attempt-started", "request" to "r2", "host" to "lekki-1")
    private val answered = event("a", 2, 5, "request-answered", "request" to "r1")
    private val unrelated = event("b", 3, 1, "request-arrived", "request" to "r3")

    @Test
    fun `events of all daemons are merged in order of time and an unreachable daemon is named`() {
        val unreachable = unreachableEndpoint()
        ScriptedDaemon { encode(forwarded, answered) }.use { first ->
            ScriptedDaemon { encode(unrelated, received, started) }.use { second ->
                val run =
                    runTool("timeline", "--only", "--daemons", "${first.endpoint},${second.endpoint},$unreachable")

                val names =
                    run.output
                        .lines()
                        .filter { it.isNotEmpty() }
                        .map { it.split(' ')[2] }
                assertEquals(listOf(unrelated, forwarded, received, started, answered).map { it.name }, names)
                assertEquals(ExitCode.PARTIAL.number, run.exitCode)
                assertContains(run.errors, "could not ask at $unreachable")
            }
        }
    }

    @Test
    fun `a request's events include those at the daemon that it was forwarded to`() {
        val filter = TimelineFilter(request = "r1")

        val selected = filter.apply(listOf(answered, started, received, unrelated, forwarded))

        assertEquals(listOf(forwarded, received, started, answered), selected)
    }

    @Test
    fun `a host is matched inside another field but not as part of another name`() {
        val exactMatch = event("a", 9, 9, "group-formed", "members" to "lekki-2,lekki-1")
        val longerName = event("a", 10, 9, "group-formed", "members" to "lekki-11")

        val selected = TimelineFilter(target = "lekki-1").apply(listOf(longerName, exactMatch, started))

        assertEquals(listOf(started, exactMatch), selected)
    }

    private fun event(
        daemon: String,
        sequence: Long,
        second: Long,
        name: String,
        vararg fields: Pair<String, String>,
    ) = TimelineEvent(Instant.ofEpochSecond(second), DaemonId(daemon), sequence, name, fields.toMap())

    private fun encode(vararg events: TimelineEvent): String = Json.write(events).decodeToString()
}
