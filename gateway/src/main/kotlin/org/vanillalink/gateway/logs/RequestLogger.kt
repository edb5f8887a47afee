/*
 * One log line per completed request, and request metrics. Failures have a larger rate limit than successes.
 */
package org.vanillalink.gateway.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.vanillalink.gateway.ports.RequestMetadata
import org.vanillalink.gateway.traffic.AdmittedRequest
import org.vanillalink.gateway.traffic.CallResult
import org.vanillalink.model.KeyValueLine
import org.vanillalink.model.RefusalReason
import org.vanillalink.serving.targets.TargetInstance
import java.time.Duration

/** The daemon's state while a request was routed, logged to explain its outcome. */
internal data class DecisionInputs(
    val configurationVersion: Long?,
    /** Milliseconds since that version was last confirmed to be current. */
    val configurationAgeMilliseconds: Long?,
    val budgetDaemons: Int,
    /** The traffic thread's maximum delay within the last seconds. */
    val loopDelayMilliseconds: Long,
)

/** Confined to the traffic thread; never blocks. */
@Suppress("SpreadOperator")
internal class RequestLogger(
    private val meterRegistry: MeterRegistry,
    private val now: () -> Long,
    private val decisionInputs: () -> DecisionInputs,
) {
    private val logger = KotlinLogging.logger("requests")
    private val failureLimiter = LogRateLimiter(FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND * 2)
    private val successLimiter = LogRateLimiter(SUCCESS_LINES_PER_SECOND, SUCCESS_LINES_PER_SECOND)
    private val timers = HashMap<String, Timer>()
    private val priorityMetrics = PriorityMetrics(meterRegistry)

    /** Logs and counts the end of an admitted request. */
    fun logCompleted(
        request: AdmittedRequest,
        result: CallResult,
        endedAt: Long,
    ) {
        val durationMilliseconds = endedAt - request.arrivedAt
        timer(request.route.kind.name, result.outcome).record(Duration.ofMillis(durationMilliseconds))
        val isFailure = result.status >= FIRST_ERROR_STATUS || !result.outcome.startsWith("answered")
        request.work.priority?.let { priorityMetrics.record(it, request.workspace?.id, result, isFailure) }
        write(
            isFailure,
            "event" to "request",
            "request" to request.metadata.requestId,
            "route" to request.route.name,
            "service" to request.service.name,
            "model" to request.metadata.model,
            "workspace" to request.workspace?.id,
            "outcome" to result.outcome,
            "status" to result.status,
            "tookMs" to durationMilliseconds,
            "priority" to request.work.priority,
            "waitedMs" to result.waitedMilliseconds,
            "firstEventMs" to result.timing?.firstEventMilliseconds,
            "longestPauseMs" to result.timing?.longestPauseMilliseconds,
            "attempts" to result.attempts,
            "atTargetMs" to result.lastAttemptMilliseconds,
            "trail" to result.trail,
            "tokens" to request.metadata.promptTokens,
            "resumedAfter" to request.metadata.lastEventId,
            *contentFields(request, isFailure),
        )
    }

    /** What the request has in common with others, where that may explain its end. */
    private fun contentFields(
        request: AdmittedRequest,
        isFailure: Boolean,
    ): Array<Pair<String, Any?>> {
        if (!isFailure) return emptyArray()
        return arrayOf("digest" to request.signature.fingerprint.value, "parts" to formatParts(request))
    }

    /**
     * Logs and counts an attempt that ended with its connection, after [responseReads] reads of its response. This
     * daemon knows of [knownLosses] targets that were lost with this very request.
     */
    fun logTargetLost(
        request: AdmittedRequest,
        target: TargetInstance,
        responseReads: Int,
        attemptMilliseconds: Long,
        knownLosses: Int,
    ) {
        meterRegistry.counter("vanillalink.attempts.lost", "begun", (responseReads > 1).toString()).increment()
        write(
            isFailure = true,
            "event" to "attempt-lost",
            "request" to request.metadata.requestId,
            "target" to target.id,
            "bornAt" to target.bornAt,
            "reads" to responseReads,
            "atTargetMs" to attemptMilliseconds,
            "knownLosses" to knownLosses,
            *contentFields(request, isFailure = true),
        )
    }

    /** Counts the end of a second attempt that was begun for [reason]; it [isNeeded] if the first one is given up. */
    fun countHedge(
        reason: String?,
        isNeeded: Boolean,
    ) = meterRegistry
        .counter("vanillalink.hedges", "reason", reason ?: "none", "needed", isNeeded.toString())
        .increment()

    /** Counts an answer of a target with [status], which promises that the request has not run although it may have. */
    fun countFalsePromise(status: Int) =
        meterRegistry.counter("vanillalink.answers.false.promises", "status", status.toString()).increment()

    private fun formatParts(request: AdmittedRequest): String? = request.metadata.sharedPromptParts
        .take(MAX_LOGGED_PARTS)
        .joinToString(",")
        .ifEmpty { null }

    /** Logs and counts a request that was refused before any attempt. */
    fun logRejected(
        metadata: RequestMetadata,
        path: String,
        reason: RefusalReason,
        detail: String,
        details: List<Pair<String, Any?>> = emptyList(),
    ) {
        timer("none", reason.problemType).record(Duration.ZERO)
        write(
            isFailure = true,
            "event" to "request",
            "request" to metadata.requestId,
            "host" to metadata.host,
            "path" to path,
            "outcome" to reason.problemType,
            "status" to reason.status,
            "detail" to detail,
            *details.toTypedArray(),
        )
    }

    /** Logs and counts a request whose caller disconnected before it was processed. */
    fun logAbandoned(
        metadata: RequestMetadata,
        path: String,
    ) {
        timer("none", ABANDONED_OUTCOME).record(Duration.ZERO)
        write(
            isFailure = true,
            "event" to "request",
            "request" to metadata.requestId,
            "host" to metadata.host,
            "path" to path,
            "outcome" to ABANDONED_OUTCOME,
        )
    }

    /** Logs and counts a request that the daemon failed to handle. */
    fun logHandlerFailed(
        metadata: RequestMetadata,
        path: String,
        failure: Exception,
    ) {
        timer("none", HANDLER_FAILED_OUTCOME).record(Duration.ZERO)
        write(
            isFailure = true,
            "event" to "request",
            "request" to metadata.requestId,
            "host" to metadata.host,
            "path" to path,
            "outcome" to HANDLER_FAILED_OUTCOME,
            "failure" to failure,
        )
    }

    private fun write(
        isFailure: Boolean,
        vararg fields: Pair<String, Any?>,
    ) {
        val time = now()
        val rateLimiter = if (isFailure) failureLimiter else successLimiter
        if (!rateLimiter.tryAcquire(time)) {
            meterRegistry
                .counter("vanillalink.log.suppressed", "kind", if (isFailure) "failure" else "success")
                .increment()
            return
        }
        val currentInputs = decisionInputs()
        val allFields =
            fields.asList() +
                listOf(
                    "configuration" to currentInputs.configurationVersion,
                    "configurationAgeMs" to currentInputs.configurationAgeMilliseconds,
                    "sharers" to currentInputs.budgetDaemons,
                    "loopDelayMs" to currentInputs.loopDelayMilliseconds.takeIf { it >= MIN_LOGGED_DELAY_MILLISECONDS },
                    "suppressed" to rateLimiter.takeSuppressedCount().takeIf { it > 0 },
                )
        logger.info { KeyValueLine.format(allFields.filter { it.second != null }) }
    }

    private fun timer(
        kind: String,
        outcome: String,
    ): Timer = timers.getOrPut("$kind/$outcome") {
        Timer
            .builder("vanillalink.requests")
            .tag("kind", kind)
            .tag("outcome", outcome)
            .serviceLevelObjectives(*HISTOGRAM_BUCKETS)
            .register(meterRegistry)
    }

    private companion object {
        const val FIRST_ERROR_STATUS = 400

        /** Bounds the line; requests have two or three shared parts. */
        const val MAX_LOGGED_PARTS = 8
        const val ABANDONED_OUTCOME = "caller-gone-before-begun"
        const val HANDLER_FAILED_OUTCOME = "handler-failed"

        /** Smaller delays have no effect that a caller notices. */
        const val MIN_LOGGED_DELAY_MILLISECONDS = 20L

        /** Enough to log every failure in an ordinary incident; mass refusals are visible in the metrics. */
        const val FAILURE_LINES_PER_SECOND = 50.0

        /** A sample only, since every success is counted in the histograms. */
        const val SUCCESS_LINES_PER_SECOND = 5.0
        val HISTOGRAM_BUCKETS: Array<Duration> =
            listOf(50L, 100L, 200L, 300L, 500L, 1_000L, 2_000L, 5_000L).map(Duration::ofMillis).toTypedArray()
    }
}
