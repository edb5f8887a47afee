/*
 * One call to a plain service. The target's answer is passed on as it comes; it must repeat the attempt's id.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RequestId
import org.vanillalink.routing.RouterEvent
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.AnswerListener
import org.vanillalink.transport.AnswerWriter
import org.vanillalink.transport.ConnectionChoice
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.OUTCOME_HEADER
import org.vanillalink.transport.OutgoingExchange
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.refuse
import java.time.Clock
import java.time.Duration
import java.time.Instant

/**
 * A call of [request] to a plain service. [message] is what the target gets; [original] is what came, for passing on to
 * another failure domain.
 */
class PlainCall(
    override val request: RequestId,
    private val message: HttpRequestMessage,
    private val original: HttpRequestMessage,
    private val repeatable: Boolean,
    private val answer: AnswerWriter,
    private val client: HttpClient,
    private val events: CallEvents,
    private val clock: Clock,
) : ActiveCall {
    private var running: RunningAttempt? = null
    private var started = false

    @Synchronized
    override fun start(
        attempt: Int,
        target: AttemptTarget,
    ) {
        val id = attemptId(request, attempt)
        val fields = message.headers.forAttempt(id, target)
        send(RunningAttempt(attempt, id, target), target.endpoint, message, fields)
    }

    @Synchronized
    override fun forward(
        attempt: Int,
        target: ForwardTarget,
    ) {
        val id = attemptId(request, attempt)
        val wrapped = target.wrap(original, id)
        send(RunningAttempt(attempt, id, null), target.endpoint, wrapped, wrapped.headers)
    }

    @Synchronized
    override fun endAttemptAt(
        host: HostId,
        detail: String,
    ) = Unit

    @Synchronized
    override fun complete() = answer.finish()

    @Synchronized
    override fun refuse(refusal: Refusal) {
        stopAttempt()
        if (started) answer.abort() else answer.refuse(refusal, request.value)
    }

    @Synchronized
    override fun stopAttempt(): AttemptTarget? {
        val attempt = running ?: return null
        running = null
        attempt.exchange?.close()
        return attempt.target
    }

    private fun send(
        attempt: RunningAttempt,
        endpoint: Endpoint,
        content: HttpRequestMessage,
        fields: HeaderFields,
    ) {
        running = attempt
        attempt.startedAt = clock.instant()
        val outgoing = HttpRequestMessage(content.method, content.target, fields, content.body)
        // On a connection that was used before, a loss couldn't be told from a run.
        val connection = if (repeatable) ConnectionChoice.REUSED_OR_FRESH else ConnectionChoice.FRESH
        attempt.exchange =
            client.send(endpoint, outgoing, SendOptions(connection, ANSWER_TIMEOUT), Listener(attempt))
        answer.onWritable { attempt.exchange?.setReading(true) }
    }

    private class RunningAttempt(
        val number: Int,
        val id: AttemptId,
        val target: AttemptTarget?,
    ) {
        var exchange: OutgoingExchange? = null
        var startedAt: Instant = Instant.EPOCH
    }

    private inner class Listener(
        private val attempt: RunningAttempt,
    ) : AnswerListener {
        override fun head(
            status: Int,
            headers: HeaderFields,
        ) = synchronized(this@PlainCall) {
            if (running !== attempt) return@synchronized
            if (!isOwn(headers)) {
                attempt.exchange?.close()
                fail(mayHaveRun = !provesNotRun(headers))
                return@synchronized
            }
            started = true
            val kept = headers.without(DROPPED_HEADERS).with(CallerProtocol.REQUEST_HEADER, request.value)
            answer.start(status, kept)
        }

        override fun piece(bytes: ByteArray) = synchronized(this@PlainCall) {
            if (running !== attempt) return@synchronized
            answer.write(bytes)
            if (!answer.isWritable) attempt.exchange?.setReading(false)
        }

        override fun whole() = synchronized(this@PlainCall) {
            if (running !== attempt) return@synchronized
            running = null
            val time = Duration.between(attempt.startedAt, clock.instant())
            events.happened(RouterEvent.AttemptFinished(request, attempt.number, time))
        }

        override fun failed(failure: TransportFailure) =
            synchronized(this@PlainCall) { fail(mayHaveRun = failure.requestMayHaveArrived) }

        private fun isOwn(headers: HeaderFields): Boolean {
            if (attempt.target == null) return headers[OUTCOME_HEADER] == null
            return headers[TargetProtocol.ATTEMPT_HEADER] == attempt.id.value
        }

        private fun provesNotRun(headers: HeaderFields): Boolean {
            if (attempt.target == null) return headers[OUTCOME_HEADER] == RefusalOutcome.NOT_RUN.wireName
            return headers[TargetProtocol.NOT_RUN_HEADER] == attempt.id.value
        }

        private fun fail(mayHaveRun: Boolean) {
            if (running !== attempt) return
            running = null
            events.happened(
                RouterEvent.AttemptFailed(
                    request = request,
                    attempt = attempt.number,
                    mayHaveRun = mayHaveRun,
                    tokensGiven = started,
                    resumable = false,
                    workEnded = !mayHaveRun,
                ),
            )
        }
    }

    private companion object {
        val ANSWER_TIMEOUT: Duration = Duration.ofSeconds(30)
        val DROPPED_HEADERS = ForwardTarget.HOP_HEADERS + OUTCOME_HEADER
    }
}
