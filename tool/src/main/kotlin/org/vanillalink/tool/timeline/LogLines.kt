/*
 * Reads the lines that daemons write on standard output. A collector may have put the process's name, and more, before
 * each line.
 */
package org.vanillalink.tool.timeline

import org.vanillalink.model.DaemonId
import org.vanillalink.model.KeyValueLine
import org.vanillalink.model.TimelineEvent
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import java.time.format.DateTimeParseException
import kotlin.io.path.nameWithoutExtension

/** Events from log files; lines that aren't events are passed over. */
internal object LogLines {
    private const val TIME = "at"
    private const val NAME = "event"
    private const val DAEMON = "daemon"

    /** The events in [file]. A line that names no daemon is of the process named before it, or else the file's. */
    fun read(file: Path): List<TimelineEvent> = Files.readAllLines(file).mapIndexedNotNull { number, line ->
        event(line, number.toLong(), file.nameWithoutExtension)
    }

    private fun event(
        line: String,
        number: Long,
        fileName: String,
    ): TimelineEvent? {
        val begin = line.indexOf("$TIME=")
        if (begin < 0) return null
        val fields = KeyValueLine.parse(line.substring(begin))
        val at = time(fields[TIME]) ?: return null
        val name = fields[NAME] ?: return null
        val process = line.substring(0, begin).trim().substringAfterLast(' ')
        val daemon = fields[DAEMON] ?: process.ifEmpty { fileName }
        return TimelineEvent(at, DaemonId(daemon), number, name, fields - setOf(TIME, NAME, DAEMON, "level"))
    }

    private fun time(text: String?): Instant? = try {
        text?.let(Instant::parse)
    } catch (_: DateTimeParseException) {
        // Not a line of a daemon.
        null
    }
}
