/*
 * The thread that control state belongs to, and the timer that parts subscribe to.
 */
package org.vanillalink.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs actions one after the other. */
class ControlThread : AutoCloseable {
    private val logger = KotlinLogging.logger {}
    private val executor =
        ScheduledThreadPoolExecutor(1) { action -> Thread(action, "control").apply { isDaemon = true } }

    /** Runs [action] soon. */
    fun execute(action: () -> Unit) {
        if (!executor.isShutdown) executor.execute(logFailure(action))
    }

    /** Runs [action] after [delay]. */
    fun scheduleOnce(
        delay: Duration,
        action: () -> Unit,
    ) {
        if (executor.isShutdown) return
        executor.schedule(logFailure(action), delay.toMillis(), TimeUnit.MILLISECONDS)
    }

    /** Runs [action] every [period]. */
    fun scheduleRepeatedly(
        period: Duration,
        action: () -> Unit,
    ) {
        executor.scheduleWithFixedDelay(logFailure(action), period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    /** A failure in one action must not end those that repeat. */
    @Suppress("TooGenericExceptionCaught")
    private fun logFailure(action: () -> Unit): Runnable = Runnable {
        try {
            action()
        } catch (failure: RuntimeException) {
            logger.error(failure) { "event=control-action-failed" }
        }
    }
}
