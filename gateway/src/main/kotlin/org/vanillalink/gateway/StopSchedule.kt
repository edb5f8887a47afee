/*
 * What a daemon that stops does when.
 */
package org.vanillalink.gateway

import org.vanillalink.gateway.ports.GatewayLimits

/** Times in milliseconds after the signal to stop. */
internal class StopSchedule(
    limits: GatewayLimits,
) {
    /** Until then requests are taken: callers are redirected after two failed readiness checks, one second apart. */
    val drainsAt = 2_500L

    /**
     * When the process ends at the latest, with the requests that it has. Callers are owed what targets complete before
     * the last sixth of the grace time, and that still has to reach them.
     */
    val endsAt =
        limits.graceMilliseconds - limits.graceMilliseconds / WORK_MARGIN_DIVISOR +
            minOf(limits.deliveryMilliseconds, limits.graceMilliseconds / SHUTDOWN_MARGIN_DIVISOR)

    private companion object {
        const val WORK_MARGIN_DIVISOR = 6

        /** 1/12 of the grace period is reserved for ending the process itself, also on a slow host. */
        const val SHUTDOWN_MARGIN_DIVISOR = 12
    }
}
