/*
 * The only source of periods and delays; parts subscribe to it.
 */
package org.vanillalink.daemon.control

import java.time.Duration

/** Calls subscribers on the control thread. */
interface TimerService {
    /** Calls [action] every [period]. */
    fun every(
        period: Duration,
        action: () -> Unit,
    )
}
