/*
 * Metrics of callers' requests. Labels are services, results, reasons and outcomes: never a request, key or workspace.
 */
package org.vanillalink.daemon.metrics

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.vanillalink.model.Refusal
import org.vanillalink.model.ServiceName
import java.time.Duration
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap

/** How a request ended. */
enum class RequestResult(
    internal val label: String,
) {
    ANSWERED("answered"),
    REFUSED("refused"),
    CANCELLED("cancelled"),
}

/** Counts requests in [registry]; may be called from any thread. */
class CallMetrics(
    private val registry: MeterRegistry,
) {
    private val lastRefusals = ConcurrentHashMap<String, Long>()

    /** A request to [service] ended after [time]. */
    fun ended(
        service: ServiceName,
        result: RequestResult,
        time: Duration,
    ) {
        registry.counter("vanillalink.requests", "service", service.value, "result", result.label).increment()
        if (result == RequestResult.ANSWERED) timer("vanillalink.request.duration", service).record(time)
    }

    /** A request to [service] that another daemon had passed on ended; its caller's request is counted there. */
    fun forwardedEnded(
        service: ServiceName,
        result: RequestResult,
    ) = registry
        .counter("vanillalink.forwarded.requests", "service", service.value, "result", result.label)
        .increment()

    /** A request was refused at [now]; [service] is null where it was refused before its service was known. */
    fun refused(
        service: ServiceName?,
        refusal: Refusal,
        now: Instant,
    ) {
        val label = service?.value ?: UNKNOWN_SERVICE
        val reason = refusal.reason.problemType
        val outcome = refusal.outcome.wireName
        registry
            .counter("vanillalink.refusals", "service", label, "reason", reason, "outcome", outcome)
            .increment()
        countOnce("vanillalink.refusal.seconds", label, now.epochSecond)
        countOnce("vanillalink.refusal.minutes", label, now.epochSecond / SECONDS_PER_MINUTE)
    }

    /** The first bytes of an answer were given to the caller of [service] after [time]. */
    fun firstByte(
        service: ServiceName,
        time: Duration,
    ) = timer("vanillalink.first.byte", service).record(time)

    /** An attempt after the first one began. */
    fun retried(service: ServiceName) = registry.counter("vanillalink.retries", "service", service.value).increment()

    /** A request was passed to another failure domain. */
    fun forwarded(service: ServiceName) = registry.counter("vanillalink.forwards", "service", service.value).increment()

    /** Counts [period] (a clock second or minute) unless it was counted before. */
    private fun countOnce(
        name: String,
        service: String,
        period: Long,
    ) {
        val before = lastRefusals.put("$name $service", period)
        if (before != period) registry.counter(name, "service", service).increment()
    }

    @Suppress("SpreadOperator")
    private fun timer(
        name: String,
        service: ServiceName,
    ): Timer = Timer
        .builder(name)
        .tag("service", service.value)
        .serviceLevelObjectives(*BUCKETS)
        .register(registry)

    private companion object {
        /** Where requests are counted that were refused before their service was known. */
        const val UNKNOWN_SERVICE = "unknown"
        const val SECONDS_PER_MINUTE = 60L
        val BUCKETS =
            listOf(5L, 10L, 25L, 50L, 100L, 250L, 360L, 500L, 1_000L, 2_500L, 5_000L, 10_000L, 30_000L, 60_000L)
                .map { Duration.ofMillis(it) }
                .toTypedArray()
    }
}
