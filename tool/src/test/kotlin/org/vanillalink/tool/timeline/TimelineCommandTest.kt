/*
 * The merged time line.
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
    private val sent = event("a", 1, 3, "request-forwarded", "request" to "r1", "forwarding-attempt" to "r1.1")
    private val taken = event("b", 1, 4, "forwarded-request-arrived", "request" to "r2", "forwarding-attempt" to "r1.1")
    private val started = event("b", 2, 4, "attempt-started", "request" to "r2", "host" to "lekki-1")
    private val answered = event("a", 2, 5, "request-answered", "request" to "r1")
    private val other = event("b", 3, 1, "request-arrived", "request" to "r3")

    @Test
    fun `events of all daemons are in one order and a daemon without an answer is named`() {
        val gone = unreachableEndpoint()
        ScriptedDaemon { json(sent, answered) }.use { first ->
            ScriptedDaemon { json(other, taken, started) }.use { second ->
                val run = runTool("timeline", "--only", "--daemons", "${first.endpoint},${second.endpoint},$gone")

                val names =
                    run.output
                        .lines()
                        .filter { it.isNotEmpty() }
                        .map { it.split(' ')[2] }
                assertEquals(listOf(other, sent, taken, started, answered).map { it.name }, names)
                assertEquals(ExitCode.PARTIAL.number, run.exitCode)
                assertContains(run.errors, "could not ask at $gone")
            }
        }
    }

    @Test
    fun `a request is followed to the daemon that it was passed to`() {
        val testSubject = TimelineFilter(request = "r1")

        val found = testSubject.apply(listOf(answered, started, taken, other, sent))

        assertEquals(listOf(sent, taken, started, answered), found)
    }

    @Test
    fun `a host is found inside another field but not as a part of another name`() {
        val whole = event("a", 9, 9, "group-formed", "members" to "lekki-2,lekki-1")
        val longer = event("a", 10, 9, "group-formed", "members" to "lekki-11")

        val found = TimelineFilter(target = "lekki-1").apply(listOf(longer, whole, started))

        assertEquals(listOf(started, whole), found)
    }

    private fun event(
        daemon: String,
        sequence: Long,
        second: Long,
        name: String,
        vararg fields: Pair<String, String>,
    ) = TimelineEvent(Instant.ofEpochSecond(second), DaemonId(daemon), sequence, name, fields.toMap())

    private fun json(vararg events: TimelineEvent): String = Json.write(events).decodeToString()
}
