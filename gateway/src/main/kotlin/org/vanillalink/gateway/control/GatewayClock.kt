/*
 * The clocks of the process.
 */
package org.vanillalink.gateway.control

import org.vanillalink.serving.catalog.ClockReading

/** All readings are in milliseconds. */
interface GatewayClock {
    /** Monotonic time, which does not advance while the process is suspended. */
    fun steady(): Long

    /** Wall-clock time, which may jump. */
    fun wall(): Long

    /** Both clocks, read together. */
    fun reading(): ClockReading = ClockReading(steady(), wall())
}

/** The clocks of the Java virtual machine. */
object SystemClock : GatewayClock {
    private const val NANOSECONDS_PER_MILLISECOND = 1_000_000

    override fun steady(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

    override fun wall(): Long = System.currentTimeMillis()
}
