/*
 * One chat completion on its way from a caller to a serving group and back.
 *
 * The engine is always asked to stream, so that progress can be seen and an interrupted answer resumed; a caller that
 * didn't ask for a stream gets the collected answer. Every chunk must carry the attempt's id and the next token index:
 * a chunk of another attempt ends this one.
 */
package org.vanillalink.daemon.traffic

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
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
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.OUTCOME_HEADER
import org.vanillalink.transport.OutgoingExchange
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.ServerSentEventDecoder
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.read
import java.time.Clock
import java.time.Duration
import java.time.Instant

/** A model call of [request] with the JSON [body] that came with [headers]; [answer] leads to the caller. */
class ModelCall(
    override val request: RequestId,
    body: ObjectNode,
    private val headers: HeaderFields,
    private val answer: AnswerWriter,
    private val client: HttpClient,
    private val events: CallEvents,
    private val clock: Clock,
) : ActiveCall {
    private val output =
        CompletionOutput(request, body.path("stream").asBoolean(false), answer, tokensBefore(headers))
    private val content = Json.write(body.deepCopy().put("stream", true))
    private var running: RunningAttempt? = null

    @Synchronized
    override fun start(
        attempt: Int,
        target: AttemptTarget,
    ) {
        val id = attemptId(request, attempt)
        val fields =
            HeaderFields
                .of("content-type" to "application/json")
                .forAttempt(id, target)
                .with(TargetProtocol.RESUME_HEADER, output.tokens.toString())
        send(RunningAttempt(attempt, id, target), target.endpoint, TargetProtocol.COMPLETIONS_PATH, fields)
    }

    @Synchronized
    override fun forward(
        attempt: Int,
        target: ForwardTarget,
    ) {
        val id = attemptId(request, attempt)
        val wrapped = target.wrap(HttpRequestMessage("POST", CallerProtocol.COMPLETIONS_PATH, headers), id)
        val resumed = wrapped.headers.with(TargetProtocol.RESUME_HEADER, output.tokens.toString())
        send(RunningAttempt(attempt, id, null), target.endpoint, wrapped.target, resumed)
    }

    @Synchronized
    override fun endAttemptAt(
        host: HostId,
        detail: String,
    ) {
        val attempt = running?.takeIf { it.target?.host == host } ?: return
        attempt.exchange?.close()
        fail(attempt, mayHaveRun = true, workEnded = false)
    }

    @Synchronized
    override fun complete() = output.complete()

    @Synchronized
    override fun refuse(refusal: Refusal) {
        stopAttempt()
        output.refuse(refusal)
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
        path: String,
        fields: HeaderFields,
    ) {
        running = attempt
        val message = HttpRequestMessage("POST", path, fields, content)
        attempt.startedAt = clock.instant()
        attempt.exchange = client.send(endpoint, message, SendOptions(answerTimeout = HEAD_TIMEOUT), Listener(attempt))
        answer.onWritable { attempt.exchange?.setReading(true) }
    }

    private fun fail(
        attempt: RunningAttempt,
        mayHaveRun: Boolean,
        workEnded: Boolean,
    ) {
        if (running !== attempt) return
        running = null
        val given = output.tokens > 0
        events.happened(
            RouterEvent.AttemptFailed(
                request = request,
                attempt = attempt.number,
                mayHaveRun = mayHaveRun,
                tokensGiven = given,
                resumable = true,
                workEnded = workEnded,
            ),
        )
    }

    private class RunningAttempt(
        val number: Int,
        val id: AttemptId,
        val target: AttemptTarget?,
    ) {
        var exchange: OutgoingExchange? = null
        var startedAt: Instant = Instant.EPOCH
        val decoder = ServerSentEventDecoder()
        var endSeen = false
    }

    private inner class Listener(
        private val attempt: RunningAttempt,
    ) : AnswerListener {
        private var accepted = false

        override fun head(
            status: Int,
            headers: HeaderFields,
        ) = synchronized(this@ModelCall) {
            val notRun = provesNotRun(headers)
            accepted = status == OK && isOwn(headers)
            if (accepted) return@synchronized
            attempt.exchange?.close()
            fail(attempt, mayHaveRun = !notRun, workEnded = notRun)
        }

        override fun piece(bytes: ByteArray) = synchronized(this@ModelCall) {
            if (running !== attempt || !accepted) return@synchronized
            attempt.decoder.decode(bytes).forEach { event -> if (running === attempt) take(event) }
            if (attempt.decoder.overflowed) crossed()
            if (!answer.isWritable) attempt.exchange?.setReading(false)
        }

        override fun whole() = synchronized(this@ModelCall) {
            if (running !== attempt) return@synchronized
            if (!attempt.endSeen) {
                fail(attempt, mayHaveRun = true, workEnded = true)
                return@synchronized
            }
            running = null
            val time = Duration.between(attempt.startedAt, clock.instant())
            events.happened(RouterEvent.AttemptFinished(request, attempt.number, time))
        }

        override fun failed(failure: TransportFailure) = synchronized(this@ModelCall) {
            val sent = failure.requestMayHaveArrived
            fail(attempt, mayHaveRun = sent, workEnded = !sent)
        }

        private fun provesNotRun(headers: HeaderFields): Boolean {
            if (attempt.target == null) return headers[OUTCOME_HEADER] == RefusalOutcome.NOT_RUN.wireName
            return headers[TargetProtocol.NOT_RUN_HEADER] == attempt.id.value
        }

        private fun isOwn(headers: HeaderFields): Boolean =
            attempt.target == null || headers[TargetProtocol.ATTEMPT_HEADER] == attempt.id.value

        private fun take(event: String) {
            if (event == TargetProtocol.STREAM_END) {
                attempt.endSeen = true
                return
            }
            val chunk = Json.read<JsonNode>(event.encodeToByteArray()).getOrNull() as? ObjectNode
            val own = attempt.target == null || chunk?.path("id")?.asText() == attempt.id.value
            if (chunk == null || !own || !output.take(chunk)) crossed()
        }

        /** What arrives isn't this attempt's next token: nothing on this connection can be trusted any more. */
        private fun crossed() {
            attempt.exchange?.close()
            fail(attempt, mayHaveRun = true, workEnded = false)
        }
    }

    private companion object {
        const val OK = 200

        /** A forwarded request may be the rest of an answer that was interrupted elsewhere. */
        fun tokensBefore(headers: HeaderFields): Int {
            if (headers[CallerProtocol.FORWARDED_HEADER] == null) return 0
            return headers[TargetProtocol.RESUME_HEADER]?.toIntOrNull() ?: 0
        }

        val HEAD_TIMEOUT: Duration = Duration.ofSeconds(30)
    }
}
