/*
 * The timeline from log files of daemons.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.tool.ExitCode
import org.vanillalink.tool.runTool
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.deleteIfExists
import kotlin.io.path.writeLines
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class LogReaderTest {
    private val log: Path = Files.createTempFile("lekki-1", ".log")

    @AfterTest
    fun deleteLog() {
        log.deleteIfExists()
    }

    @Test
    fun `an event's daemon is taken from the line, else from the line's prefix, else from the file name`() {
        writeLog(
            "at=2026-01-26T20:29:57.000Z level=INFO event=started daemon=a",
            " 4.0 b at=2026-01-26T20:29:58.000Z level=INFO event=request request=r1",
            "at=2026-01-26T20:29:59.000Z level=INFO event=request request=r2",
        )
        val daemons = LogReader.read(log).map { it.daemon.value }
        assertEquals(listOf("a", "b", log.fileName.toString().removeSuffix(".log")), daemons)
    }

    @Test
    fun `lines that are not events are skipped`() {
        writeLog("Picked up a setting", "at=noon event=request", "at=2026-01-26T20:29:57.000Z level=WARN odd")
        assertEquals(emptyList(), LogReader.read(log))
    }

    @Test
    fun `a group is matched inside orders and request trails`() {
        writeLog(
            "at=2026-01-26T20:29:57.000Z event=order daemon=a order=\"Join(key=GroupKey(group=g-1, epoch=1))\"",
            "at=2026-01-26T20:29:58.000Z event=request request=r1 trail=g-1/3of4!group-broken,g-2/1of4",
            "at=2026-01-26T20:29:59.000Z event=request request=r2 trail=g-11/3of4",
        )
        val run = runTool("timeline", "--log", log.toString(), "--group", "g-1")
        assertEquals(ExitCode.DONE.number, run.exitCode)
        assertEquals(2, run.output.lines().count { it.isNotEmpty() })
        assertContains(run.output, "r1")
    }

    private fun writeLog(vararg lines: String) = log.writeLines(lines.asList())
}
