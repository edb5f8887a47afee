/*
 * Resource usage of the process, to distinguish a thread that was not scheduled from one that was overloaded.
 */
package org.vanillalink.gateway.logs

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import java.time.Duration

/** Totals since the process started. */
data class ProcessUsage(
    /** Processor time of all threads. */
    val processorTime: Duration = Duration.ZERO,
    /** Time spent in garbage collection. */
    val collectionTime: Duration = Duration.ZERO,
) {
    operator fun minus(earlier: ProcessUsage) =
        ProcessUsage(processorTime - earlier.processorTime, collectionTime - earlier.collectionTime)
}

/** Reads the totals; cheap enough to be called on every tick. */
fun interface UsageMeter {
    fun read(): ProcessUsage
}

/** Reads the totals from the management beans of the Java virtual machine. */
object JvmUsageMeter : UsageMeter {
    private val operatingSystem by lazy { ManagementFactory.getOperatingSystemMXBean() as? OperatingSystemMXBean }
    private val garbageCollectors by lazy { ManagementFactory.getGarbageCollectorMXBeans() }

    override fun read() = ProcessUsage(
        processorTime = Duration.ofNanos(maxOf(0, operatingSystem?.processCpuTime ?: 0)),
        collectionTime = Duration.ofMillis(garbageCollectors.sumOf { maxOf(0, it.collectionTime) }),
    )
}
