/*
 * One chat completion on its way from a caller to a serving group and back.
 *
 * The engine is always asked to stream, so that progress can be seen and an interrupted answer resumed; a caller that
 * didn't ask for a stream gets the collected answer. Every chunk must carry the attempt's id and the next token index:
 * a chunk of another attempt ends this one. A target's refusal of the request itself is its final answer.
 */
package org.vanillalink.daemon.traffic

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.vanillalink.control.AttemptTarget
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.ServerSentEventDecoder
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.read
import java.time.Clock
import java.time.Duration

/** A model call of [request] with the JSON [body] that came with [headers]; [answer] leads to the caller. */
class ModelCall(
    override val request: RequestId,
    body: ObjectNode,
    private val headers: HeaderFields,
    private val answer: ResponseWriter,
    private val client: HttpClient,
    private val events: CallEvents,
    private val clock: Clock,
) : ActiveCall {
    private val output =
        CompletionOutput(request, body.path("stream").asBoolean(false), answer, echoedId(request, headers))
    private val content = Json.write(body.deepCopy().put("stream", true))
    private val progress = AttemptProgress(request, events, clock, resumable = true, tokensBefore(headers))
    private var finalAnswer: CollectedAnswer? = null

    override val watched: RunningAttempt? get() = synchronized(this) { progress.running }

    @Synchronized
    override fun start(
        attempt: Int,
        target: AttemptTarget,
    ) {
        val running = progress.begin(attempt, target)
        val fields =
            HeaderFields
                .of("content-type" to "application/json")
                .forAttempt(running.id, target)
                .with(TargetProtocol.RESUME_HEADER, progress.tokens.toString())
        send(running, target.endpoint, TargetProtocol.COMPLETIONS_PATH, fields)
    }

    @Synchronized
    override fun forward(
        attempt: Int,
        target: ForwardTarget,
    ) {
        val running = progress.begin(attempt, null)
        val wrapped = target.wrap(HttpRequestMessage("POST", CallerProtocol.COMPLETIONS_PATH, headers), running.id)
        val resumed = wrapped.headers.with(TargetProtocol.RESUME_HEADER, progress.tokens.toString())
        send(running, target.endpoint, wrapped.target, resumed)
    }

    @Synchronized
    override fun endAttemptAt(host: HostId) = progress.endAt(host)

    @Synchronized
    override fun endAttempt(attempt: AttemptId) = progress.end(attempt)

    @Synchronized
    override fun complete() {
        finalAnswer?.let(output::completeWith) ?: output.complete(progress.tokens)
    }

    @Synchronized
    override fun refuse(refusal: Refusal) {
        stopAttempt()
        output.refuse(refusal)
    }

    @Synchronized
    override fun stopAttempt(): AttemptTarget? = progress.withdraw()

    private fun send(
        attempt: RunningAttempt,
        endpoint: Endpoint,
        path: String,
        fields: HeaderFields,
    ) {
        val message = HttpRequestMessage("POST", path, fields, content)
        attempt.exchange =
            client.send(endpoint, message, SendOptions(responseTimeout = HEAD_TIMEOUT), Listener(attempt))
        answer.onWritable { attempt.setReading(true) }
    }

    private inner class Listener(
        private val attempt: RunningAttempt,
    ) : ResponseListener {
        private val decoder = ServerSentEventDecoder()
        private var endSeen = false
        private var collected: CollectedAnswer? = null

        override fun onHead(
            status: Int,
            headers: HeaderFields,
        ) = synchronized(this@ModelCall) {
            val isFinal = status in FINAL_STATUSES && progress.tokens == 0L
            val accepted = progress.head(attempt, headers, usable = status == OK || isFinal)
            if (accepted && isFinal) collected = CollectedAnswer(status, headers)
        }

        override fun onBodyChunk(bytes: ByteArray) = synchronized(this@ModelCall) {
            attempt.pieceReceived()
            val whole = collected
            if (whole != null) {
                if (!whole.add(bytes)) progress.garbage(attempt)
                return@synchronized
            }
            decoder.decode(bytes).forEach { event -> if (progress.running === attempt) take(event) }
            if (decoder.hasOverflowed) progress.garbage(attempt)
            if (!answer.isWritable) attempt.setReading(false)
        }

        override fun onComplete() = synchronized(this@ModelCall) {
            val finished =
                if (collected == null) progress.streamEnded(attempt, endSeen) else progress.whole(attempt)
            if (finished == null) return@synchronized
            finalAnswer = collected
            events.happened(finished)
        }

        override fun onFailure(failure: TransportFailure) =
            synchronized(this@ModelCall) { progress.failed(attempt, failure) }

        private fun take(event: String) {
            if (event == TargetProtocol.STREAM_END) {
                endSeen = true
                return
            }
            val chunk = Json.read<JsonNode>(event.encodeToByteArray()).getOrNull() as? ObjectNode
            if (chunk == null) {
                progress.garbage(attempt)
                return
            }
            val index = chunk.path("token_index").asLong(progress.tokens)
            if (progress.token(attempt, chunk.path("id").textValue(), index)) output.give(chunk)
        }
    }

    private companion object {
        const val OK = 200

        /** A target's verdict on the request itself: another target would say the same. */
        val FINAL_STATUSES = setOf(400, 422)

        /** A forwarded request may be the rest of an answer that was interrupted elsewhere. */
        fun tokensBefore(headers: HeaderFields): Int {
            if (headers[CallerProtocol.FORWARDED_HEADER] == null) return 0
            return headers[TargetProtocol.RESUME_HEADER]?.toIntOrNull() ?: 0
        }

        /** What the chunks are marked with: the attempt of the daemon that passed the request on, if one did. */
        fun echoedId(
            request: RequestId,
            headers: HeaderFields,
        ): String = headers[CallerProtocol.FORWARDED_HEADER] ?: request.value

        val HEAD_TIMEOUT: Duration = Duration.ofSeconds(30)
    }
}
