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
internal object LogReader {
    private const val TIME = "at"
    private const val NAME = "event"
    private const val DAEMON = "daemon"

    /** The events in [file]. A line that names no daemon is of the process named before it, or else the file's. */
    fun read(file: Path): List<TimelineEvent> = Files.readAllLines(file).mapIndexedNotNull { lineNumber, line ->
        parseEvent(line, lineNumber.toLong(), file.nameWithoutExtension)
    }

    private fun parseEvent(
        line: String,
        lineNumber: Long,
        fileName: String,
    ): TimelineEvent? {
        val fieldsStart = line.indexOf("$TIME=")
        if (fieldsStart < 0) return null
        val fields = KeyValueLine.parse(line.substring(fieldsStart))
        val time = parseTime(fields[TIME]) ?: return null
        val name = fields[NAME] ?: return null
        val processName = line.substring(0, fieldsStart).trim().substringAfterLast(' ')
        val daemon = fields[DAEMON] ?: processName.ifEmpty { fileName }
        return TimelineEvent(time, DaemonId(daemon), lineNumber, name, fields - setOf(TIME, NAME, DAEMON, "level"))
    }

    private fun parseTime(text: String?): Instant? = try {
        text?.let(Instant::parse)
    } catch (_: DateTimeParseException) {
        // Not a line of a daemon.
        null
    }
}
