/*
 * One line for each request that ends, and the counters beside it. Failures go before successes when lines are scarce.
 */
package org.vanillalink.gateway.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import org.vanillalink.gateway.ports.CallMarks
import org.vanillalink.gateway.traffic.AdmittedRequest
import org.vanillalink.gateway.traffic.CallEnd
import org.vanillalink.model.KeyValueLine
import org.vanillalink.model.RefusalReason
import java.time.Duration

/** What the daemon knew when a request was decided. */
internal data class DecisionInputs(
    val configurationVersion: Long?,
    /** Milliseconds since that version was last known to be current. */
    val configurationAge: Long?,
    val sharers: Int,
    /** The traffic thread's greatest delay of late, in milliseconds. */
    val loopDelay: Long,
)

/** Writes on the traffic thread; never blocks. */
internal class CallLog(
    private val registry: MeterRegistry,
    private val now: () -> Long,
    private val inputs: () -> DecisionInputs,
) {
    private val logger = KotlinLogging.logger("requests")
    private val failures = LineBudget(FAILURE_LINES_PER_SECOND, FAILURE_LINES_PER_SECOND * 2)
    private val successes = LineBudget(SUCCESS_LINES_PER_SECOND, SUCCESS_LINES_PER_SECOND)
    private val timers = HashMap<String, Timer>()

    /** An admitted request has ended. */
    fun ended(
        request: AdmittedRequest,
        end: CallEnd,
        at: Long,
    ) {
        val took = at - request.arrivedAt
        timer(request.route.kind.name, end.outcome).record(Duration.ofMillis(took))
        write(
            isFailure = end.status >= CLIENT_ERROR || !end.outcome.startsWith("answered"),
            "event" to "request",
            "request" to request.marks.requestId,
            "route" to request.route.name,
            "service" to request.service.name,
            "model" to request.marks.model,
            "workspace" to request.workspace?.id,
            "outcome" to end.outcome,
            "status" to end.status,
            "tookMs" to took,
            "firstEventMs" to end.pace?.firstEvent,
            "longestPauseMs" to end.pace?.longestPause,
            "attempts" to end.attempts,
            "atTargetMs" to end.atTargetMilliseconds,
            "trail" to end.trail,
            "tokens" to request.marks.promptTokens,
            "resumedAfter" to request.marks.lastEventId,
        )
    }

    /** A request was turned away before it could be sent anywhere. */
    fun rejected(
        marks: CallMarks,
        path: String,
        reason: RefusalReason,
        detail: String,
    ) {
        timer("none", reason.problemType).record(Duration.ZERO)
        write(
            isFailure = true,
            "event" to "request",
            "request" to marks.requestId,
            "host" to marks.host,
            "path" to path,
            "outcome" to reason.problemType,
            "status" to reason.status,
            "detail" to detail,
        )
    }

    /** The caller left before its request was handled. */
    fun abandoned(
        marks: CallMarks,
        path: String,
    ) {
        timer("none", ABANDONED).record(Duration.ZERO)
        write(
            isFailure = true,
            "event" to "request",
            "request" to marks.requestId,
            "host" to marks.host,
            "path" to path,
            "outcome" to ABANDONED,
        )
    }

    private fun write(
        isFailure: Boolean,
        vararg fields: Pair<String, Any?>,
    ) {
        val at = now()
        val budget = if (isFailure) failures else successes
        if (!budget.take(at)) {
            registry.counter("vanillalink.log.suppressed", "kind", if (isFailure) "failure" else "success").increment()
            return
        }
        val known = inputs()
        val all =
            fields.asList() +
                listOf(
                    "configuration" to known.configurationVersion,
                    "configurationAgeMs" to known.configurationAge,
                    "sharers" to known.sharers,
                    "loopDelayMs" to known.loopDelay.takeIf { it >= LOOP_DELAY_TOLD_MILLISECONDS },
                    "suppressed" to budget.takeSuppressed().takeIf { it > 0 },
                )
        logger.info { KeyValueLine.format(all.filter { it.second != null }) }
    }

    @Suppress("SpreadOperator")
    private fun timer(
        kind: String,
        outcome: String,
    ): Timer = timers.getOrPut("$kind/$outcome") {
        Timer
            .builder("vanillalink.requests")
            .tag("kind", kind)
            .tag("outcome", outcome)
            .serviceLevelObjectives(*BUCKETS)
            .register(registry)
    }

    private companion object {
        const val CLIENT_ERROR = 400
        const val ABANDONED = "caller-gone-before-begun"

        /** Less than this explains nothing that a caller sees. */
        const val LOOP_DELAY_TOLD_MILLISECONDS = 20L

        /** Enough for each failure of an ordinary bad minute; a storm of refusals is told by its counters. */
        const val FAILURE_LINES_PER_SECOND = 50.0

        /** A sample; each success is also in the histograms. */
        const val SUCCESS_LINES_PER_SECOND = 5.0
        val BUCKETS: Array<Duration> =
            listOf(50L, 100L, 200L, 300L, 500L, 1_000L, 2_000L, 5_000L).map(Duration::ofMillis).toTypedArray()
    }
}
