/*
 * The clocks of the process.
 */
package org.vanillalink.gateway.control

import org.vanillalink.serving.catalog.ClockReading

/** Readings in milliseconds. */
interface GatewayClock {
    /** Never goes back, and stands still while the process is suspended. */
    fun steady(): Long

    /** The time of day, which may jump. */
    fun wall(): Long

    /** Both at once. */
    fun reading(): ClockReading = ClockReading(steady(), wall())
}

/** The clocks of this machine. */
object SystemClock : GatewayClock {
    private const val NANOSECONDS_PER_MILLISECOND = 1_000_000

    override fun steady(): Long = System.nanoTime() / NANOSECONDS_PER_MILLISECOND

    override fun wall(): Long = System.currentTimeMillis()
}
