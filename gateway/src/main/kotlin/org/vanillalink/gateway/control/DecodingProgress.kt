/*
 * What the thread that decodes the registry's answers works on. One thread decodes them all, so a record that takes
 * long delays the configuration and all other records, and the store looks as if it didn't answer.
 */
package org.vanillalink.gateway.control

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.logs.EventLogger
import java.time.Duration
import java.util.concurrent.Executor

/** Something of [bytes] bytes, named [name], is being decoded since [startedAt] on the steady clock. */
class DecodingStep(
    val name: String,
    val bytes: Int,
    val startedAt: Long,
)

/** Written by the one thread that decodes; read by any. */
class DecodingProgress(
    private val clock: GatewayClock = SystemClock,
) {
    /** What is being decoded now, or null. */
    @Volatile
    var current: DecodingStep? = null
        private set

    /** Milliseconds since the current step began, or 0. */
    val ageMilliseconds: Long get() = current?.let { clock.steady() - it.startedAt } ?: 0

    /** Runs [decode] as the current step. */
    fun <T> track(
        name: String,
        bytes: Int,
        decode: () -> T,
    ): T {
        val enclosing = current
        current = DecodingStep(name, bytes, clock.steady())
        try {
            return decode()
        } finally {
            current = enclosing
        }
    }

    /** Tracks each action that [executor] runs, which does one at a time. */
    fun track(executor: Executor): Executor =
        Executor { action -> executor.execute { track(ANSWER, bytes = 0) { action.run() } } }

    private companion object {
        const val ANSWER = "answer"
    }
}

/** Logs steps of [progress] that take long, once each while they run. Confined to the control thread. */
internal class DecodingMonitor(
    private val progress: DecodingProgress,
    private val eventLogger: EventLogger,
    metrics: MeterRegistry,
) {
    private var logged: DecodingStep? = null

    init {
        metrics.gauge("vanillalink.registry.decoding.milliseconds", progress) { it.ageMilliseconds.toDouble() }
    }

    fun start(controlThread: ControlThread) = controlThread.scheduleRepeatedly(CHECK_INTERVAL, ::check)

    fun check() {
        val step = progress.current ?: return
        val age = progress.ageMilliseconds
        if (age < LOG_THRESHOLD_MILLISECONDS || step === logged) return
        logged = step
        eventLogger.record(
            "registry-decoding-slow",
            "key" to step.name.take(MAX_NAME_LENGTH),
            "bytes" to step.bytes,
            "forMs" to age,
        )
    }

    private companion object {
        val CHECK_INTERVAL: Duration = Duration.ofMillis(100)

        /** An answer with all records of a large site is decoded in a few tens of milliseconds. */
        const val LOG_THRESHOLD_MILLISECONDS = 250L
        const val MAX_NAME_LENGTH = 200
    }
}
