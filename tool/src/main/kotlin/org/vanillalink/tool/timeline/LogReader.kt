/*
 * Parses the log lines that daemons write to standard output. A log collector may have prefixed each line with the
 * process's name and other text.
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

/** Reads events from log files; skips lines that are not events. */
internal object LogReader {
    private const val TIME = "at"
    private const val NAME = "event"
    private const val DAEMON = "daemon"

    /** Reads [file]. A line without a daemon is attributed to the process in its prefix, or else to the file's name. */
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
        // The line was not written by a daemon.
        null
    }
}
