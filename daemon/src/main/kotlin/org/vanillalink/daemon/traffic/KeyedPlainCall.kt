/*
 * One call to a plain service with an idempotency key. The target's answer is collected whole before the caller gets
 * it, because it is kept for replays.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.OutcomeBody
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
import java.io.ByteArrayOutputStream
import java.time.Clock
import java.time.Duration

/** A keyed call of [request]; [message] and [original] as in [PlainCall]. */
class KeyedPlainCall(
    override val request: RequestId,
    private val message: HttpRequestMessage,
    private val original: HttpRequestMessage,
    private val answer: AnswerWriter,
    private val client: HttpClient,
    private val events: CallEvents,
    private val clock: Clock,
) : ActiveCall {
    private var running: Listener? = null

    @Synchronized
    override fun start(
        attempt: Int,
        target: AttemptTarget,
    ) {
        val id = attemptId(request, attempt).value
        val fields = message.headers.forAttempt(attemptId(request, attempt), target)
        send(Listener(attempt, id, isTarget = true), target.endpoint, message, fields)
    }

    @Synchronized
    override fun forward(
        attempt: Int,
        target: ForwardTarget,
    ) {
        val id = attemptId(request, attempt)
        val wrapped = target.wrap(original, id)
        send(Listener(attempt, id.value, isTarget = false), target.endpoint, wrapped, wrapped.headers)
    }

    /** A plain service's host is no group: its attempts end by themselves. */
    override fun endAttemptAt(
        host: HostId,
        detail: String,
    ) = Unit

    /** The answer comes through [replay], once the record has been told. */
    override fun complete() = Unit

    @Synchronized
    override fun refuse(refusal: Refusal) = answer.refuse(refusal, request.value)

    /** A keyed call runs to its end also when nobody waits for it: its outcome is kept. */
    override fun stopAttempt(): AttemptTarget? = null

    /** Gives the caller [outcome], whose body is [body]. */
    fun replay(
        outcome: CallOutcome,
        body: ByteArray,
        replayed: Boolean,
    ) {
        val headers =
            HeaderFields(outcome.headers)
                .with(CallerProtocol.REQUEST_HEADER, request.value)
                .with(CallerProtocol.REPLAYED_HEADER, replayed.toString())
        answer.answer(outcome.status, headers, body)
    }

    private fun send(
        listener: Listener,
        endpoint: Endpoint,
        content: HttpRequestMessage,
        fields: HeaderFields,
    ) {
        running = listener
        val outgoing = HttpRequestMessage(content.method, content.target, fields, content.body)
        // On a connection that was used before, a loss couldn't be told from a run.
        listener.exchange = client.send(endpoint, outgoing, SendOptions(ConnectionChoice.FRESH, TIMEOUT), listener)
    }

    private inner class Listener(
        private val number: Int,
        private val id: String,
        private val isTarget: Boolean,
    ) : AnswerListener {
        var exchange: OutgoingExchange? = null
        private val startedAt = clock.instant()
        private val body = ByteArrayOutputStream()
        private var status = 0
        private var headers = HeaderFields()

        override fun head(
            status: Int,
            headers: HeaderFields,
        ) = synchronized(this@KeyedPlainCall) {
            this.status = status
            this.headers = headers
            if (isOwn(headers)) return@synchronized
            exchange?.close()
            fail(mayHaveRun = !provesNotRun(headers))
        }

        override fun piece(bytes: ByteArray) = synchronized(this@KeyedPlainCall) {
            if (running !== this) return@synchronized
            body.write(bytes)
            if (body.size() <= LARGEST_ANSWER_BYTES) return@synchronized
            exchange?.close()
            fail(mayHaveRun = true)
        }

        override fun whole() = synchronized(this@KeyedPlainCall) {
            if (running !== this) return@synchronized
            running = null
            val kept = headers.all.filterKeys { it in KEPT_HEADERS }
            val outcome = CallOutcome(status, kept, OutcomeBody.Inline.of(body.toByteArray()))
            val time = Duration.between(startedAt, clock.instant())
            events.keyedCallAnswered(RouterEvent.AttemptFinished(request, number, time), outcome)
        }

        override fun failed(failure: TransportFailure) =
            synchronized(this@KeyedPlainCall) { fail(failure.requestMayHaveArrived) }

        private fun isOwn(headers: HeaderFields): Boolean =
            if (isTarget) headers[TargetProtocol.ATTEMPT_HEADER] == id else headers[OUTCOME_HEADER] == null

        private fun provesNotRun(headers: HeaderFields): Boolean {
            if (!isTarget) return headers[OUTCOME_HEADER] == RefusalOutcome.NOT_RUN.wireName
            return headers[TargetProtocol.NOT_RUN_HEADER] == id
        }

        private fun fail(mayHaveRun: Boolean) {
            if (running !== this) return
            running = null
            events.happened(RouterEvent.AttemptFailed(request, number, mayHaveRun, workEnded = !mayHaveRun))
        }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(30)
        const val LARGEST_ANSWER_BYTES = 4_194_304
        val KEPT_HEADERS = setOf("content-type", "location", "etag")
    }
}
