/*
 * What one run of `bin/measure` gave; its JSON.
 */
package org.vanillalink.measure

import java.io.File

/** The machine of a run; memory in megabytes (0 where the system doesn't tell). */
data class Machine(
    val cores: Int,
    val memoryMegabytes: Long,
    val java: String,
) {
    companion object {
        private const val KILOBYTES_PER_MEGABYTE = 1_024
        private val MEMORY = File("/proc/meminfo")

        /** The machine that this runs on. */
        fun here(): Machine =
            Machine(Runtime.getRuntime().availableProcessors(), memoryMegabytes(), System.getProperty("java.version"))

        private fun memoryMegabytes(): Long {
            if (!MEMORY.canRead()) return 0
            val line = MEMORY.readLines().firstOrNull { it.startsWith("MemTotal:") } ?: return 0
            return line.filter { it.isDigit() }.toLong() / KILOBYTES_PER_MEGABYTE
        }
    }
}

/** One measurement's figures, and the real time it took. */
data class MeasuredFigures(
    val name: String,
    val seconds: Double,
    val figures: List<Figure>,
)

/** A whole run. */
data class MeasureReport(
    val machine: Machine,
    val seed: Long,
    val long: Boolean,
    val measurements: List<MeasuredFigures>,
)
