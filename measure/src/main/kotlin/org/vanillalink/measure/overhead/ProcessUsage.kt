/*
 * Processor time and memory of another process, as the kernel counts them.
 */
package org.vanillalink.measure.overhead

import java.nio.file.Files
import java.nio.file.Path
import kotlin.jvm.optionals.getOrNull

/** Reads what the process [id] used. */
class ProcessUsage(
    private val id: Long,
) {
    /** Processor time so far in microseconds, over all threads. */
    fun processorMicroseconds(): Long {
        val duration =
            ProcessHandle
                .of(id)
                .getOrNull()
                ?.info()
                ?.totalCpuDuration()
                ?.getOrNull()
        return checkNotNull(duration) { "process $id has ended" }.toNanos() / NANOSECONDS_PER_MICROSECOND
    }

    /** Resident memory in mebibytes. */
    fun residentMebibytes(): Double {
        val line = Files.readAllLines(Path.of("/proc/$id/status")).first { it.startsWith("VmRSS:") }
        return line.filter { it.isDigit() }.toLong() / KIBIBYTES_PER_MEBIBYTE
    }

    private companion object {
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
        const val KIBIBYTES_PER_MEBIBYTE = 1_024.0
    }
}
