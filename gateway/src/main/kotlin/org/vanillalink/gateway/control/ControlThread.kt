/*
 * The single thread that control state is confined to, with one-time and periodic actions.
 */
package org.vanillalink.gateway.control

import io.github.oshai.kotlinlogging.KotlinLogging
import java.time.Duration
import java.util.concurrent.ScheduledThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** Runs actions sequentially on one thread. */
class ControlThread : AutoCloseable {
    private val logger = KotlinLogging.logger {}
    private val executor =
        ScheduledThreadPoolExecutor(1) { action -> Thread(action, "control").apply { isDaemon = true } }

    fun execute(action: () -> Unit) {
        if (!executor.isShutdown) executor.execute(logFailure(action))
    }

    fun scheduleOnce(
        delay: Duration,
        action: () -> Unit,
    ) {
        if (executor.isShutdown) return
        executor.schedule(logFailure(action), delay.toMillis(), TimeUnit.MILLISECONDS)
    }

    /** Runs [action] with a pause of [period] between runs. */
    fun scheduleRepeatedly(
        period: Duration,
        action: () -> Unit,
    ) {
        executor.scheduleWithFixedDelay(logFailure(action), period.toMillis(), period.toMillis(), TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    /** Logs exceptions, since the executor would cancel a periodic action that throws. */
    @Suppress("TooGenericExceptionCaught")
    private fun logFailure(action: () -> Unit): Runnable = Runnable {
        try {
            action()
        } catch (failure: RuntimeException) {
            logger.error(failure) { "event=control-action-failed" }
        }
    }
}
