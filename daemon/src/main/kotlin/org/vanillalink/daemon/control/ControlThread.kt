/*
 * The one thread that holds control state. Traffic threads hand it events and never wait for it.
 */
package org.vanillalink.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.vanillalink.model.KeyValueLine
import java.time.Duration
import java.util.concurrent.Executors
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Runs actions one after the other. */
class ControlThread :
    TimerService,
    AutoCloseable {
    private val logger = KotlinLogging.logger {}
    private val executor =
        Executors.newSingleThreadScheduledExecutor { task -> Thread(task, "control").apply { isDaemon = true } }

    private val busyNanoseconds = AtomicLong()

    /** How long actions have run since the start. */
    val busy: Duration get() = Duration.ofNanos(busyNanoseconds.get())

    /** Runs [action] after those that were handed over before. */
    fun execute(action: () -> Unit) {
        try {
            executor.execute { guarded(action) }
        } catch (_: RejectedExecutionException) {
            logger.debug { "event=control-stopped" }
        }
    }

    override fun every(
        period: Duration,
        action: () -> Unit,
    ) {
        val milliseconds = period.toMillis()
        executor.scheduleAtFixedRate({ guarded(action) }, milliseconds, milliseconds, TimeUnit.MILLISECONDS)
    }

    override fun close() {
        executor.shutdownNow()
    }

    /** A fault in one event must not end the thread: the next events still have to be handled. */
    @Suppress("TooGenericExceptionCaught")
    private fun guarded(action: () -> Unit) {
        val startedAt = System.nanoTime()
        try {
            action()
        } catch (failure: Exception) {
            logger.error(failure) { KeyValueLine.format("event" to "control-fault", "fault" to failure) }
        } finally {
            busyNanoseconds.addAndGet(System.nanoTime() - startedAt)
        }
    }
}
