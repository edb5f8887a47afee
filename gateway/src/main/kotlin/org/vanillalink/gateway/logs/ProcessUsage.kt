/*
 * What the process has used so far, to tell a thread that was kept from running from one that had too much to do.
 */
package org.vanillalink.gateway.logs

import com.sun.management.OperatingSystemMXBean
import java.lang.management.ManagementFactory
import java.time.Duration

/** Totals since the process began. */
data class ProcessUsage(
    /** Processor time of all threads. */
    val processor: Duration = Duration.ZERO,
    /** Time spent in garbage collections. */
    val collections: Duration = Duration.ZERO,
) {
    operator fun minus(earlier: ProcessUsage) =
        ProcessUsage(processor - earlier.processor, collections - earlier.collections)
}

/** Reads the totals; cheap enough for every tick. */
fun interface UsageMeter {
    fun read(): ProcessUsage
}

/** Asks the virtual machine. */
object VirtualMachineUsage : UsageMeter {
    private val system by lazy { ManagementFactory.getOperatingSystemMXBean() as? OperatingSystemMXBean }
    private val collectors by lazy { ManagementFactory.getGarbageCollectorMXBeans() }

    override fun read() = ProcessUsage(
        processor = Duration.ofNanos(maxOf(0, system?.processCpuTime ?: 0)),
        collections = Duration.ofMillis(collectors.sumOf { maxOf(0, it.collectionTime) }),
    )
}
