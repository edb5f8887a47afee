/*
 * Edits through daemons that are unreachable, disconnect before they respond, or refuse.
 */
package org.vanillalink.tool

import org.vanillalink.tool.configuration.EditRequest
import org.vanillalink.transport.Json
import org.vanillalink.transport.read
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ConfigurationEditTest {
    private val accepted = """{"result":"accepted","version":3,"revision":9,"repeated":true}"""

    @Test
    fun `an edit whose response was lost is sent to the next daemon with the same id`() {
        ScriptedDaemon { null }.use { disconnecting ->
            ScriptedDaemon { accepted }.use { responding ->
                val run = apply("${disconnecting.endpoint},${responding.endpoint}")

                val ids = (disconnecting.requests + responding.requests).map { parseEditId(it.body) }
                assertEquals(0, run.exitCode)
                assertEquals(listOf("edit-7", "edit-7"), ids)
                assertContains(run.errors, "it may have arrived")
                assertContains(run.output, "an earlier try had taken effect")
            }
        }
    }

    @Test
    fun `if no daemon responds the edit's id is printed for a retry`() {
        val run = apply(unreachableEndpoint().toString())

        assertEquals(ExitCode.UNREACHABLE.number, run.exitCode)
        assertContains(run.errors, "--edit edit-7")
    }

    @Test
    fun `a conflicting edit exits as refused and prints the section's current version`() {
        val conflict = """{"result":"version-conflict","presentVersion":5,"outcome":"not-applied"}"""
        ScriptedDaemon { conflict }.use { daemon ->
            val run = apply(daemon.endpoint.toString())

            assertEquals(ExitCode.REFUSED.number, run.exitCode)
            assertContains(run.output, "the section has version 5")
        }
    }

    @Test
    fun `an invalid edit prints the section, key, problem and allowed range`() {
        val invalid =
            """{"result":"invalid","outcome":"not-applied","errors":[{"section":"limits","path":"queuedRequests",
            "problem":"OUT_OF_RANGE","value":"-1","allowed":"0 to 100000"}]}"""
        ScriptedDaemon { invalid }.use { daemon ->
            val run = apply(daemon.endpoint.toString())

            assertEquals(ExitCode.REFUSED.number, run.exitCode)
            assertContains(run.output, "limits: queuedRequests: out of range -1; allowed: 0 to 100000")
        }
    }

    private fun apply(daemons: String): ToolRun {
        val file: Path = Files.createTempFile("section", ".json")
        Files.writeString(file, "{}")
        val arguments = listOf("--expected-version", "2", "--edit", "edit-7", "--daemons", daemons, "--only")
        return runTool("configuration", "apply", "limits", file.toString(), *arguments.toTypedArray())
    }

    private fun parseEditId(body: ByteArray): String? = Json.read<EditRequest>(body).getOrNull()?.edit
}
