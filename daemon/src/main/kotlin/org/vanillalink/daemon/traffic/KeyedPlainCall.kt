/*
 * One call to a plain service with an idempotency key. The target's answer is collected whole before the caller gets
 * it, because it is kept for replays.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.dispatch.record.CallOutcome
import org.vanillalink.dispatch.record.OutcomeBody
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.refuse
import java.time.Clock
import java.time.Duration

/** A keyed call of [request]; [message] and [original] as in [PlainCall]. */
class KeyedPlainCall(
    override val request: RequestId,
    private val message: HttpRequestMessage,
    private val original: HttpRequestMessage,
    private val answer: ResponseWriter,
    private val client: HttpClient,
    private val events: CallEvents,
    private val clock: Clock,
) : ActiveCall {
    private val progress = AttemptProgress(request, events, clock, resumable = false)

    /** Its progress isn't watched: timeouts bound a silent connection. */
    override val watched: RunningAttempt? get() = null

    @Synchronized
    override fun start(
        attempt: Int,
        target: AttemptTarget,
    ) {
        val running = progress.begin(attempt, target)
        send(running, target.endpoint, message, message.headers.forAttempt(running.id, target))
    }

    @Synchronized
    override fun forward(
        attempt: Int,
        target: ForwardTarget,
    ) {
        val running = progress.begin(attempt, null)
        val wrapped = target.wrap(original, running.id)
        send(running, target.endpoint, wrapped, wrapped.headers)
    }

    /** A plain service's host is no group: its attempts end by themselves. */
    override fun endAttemptAt(host: HostId) = Unit

    override fun endAttempt(attempt: AttemptId) = Unit

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
        answer.respond(outcome.status, headers, body)
    }

    private fun send(
        attempt: RunningAttempt,
        endpoint: Endpoint,
        content: HttpRequestMessage,
        fields: HeaderFields,
    ) {
        val outgoing = HttpRequestMessage(content.method, content.target, fields, content.body)
        // On a connection that was used before, a loss couldn't be told from a run.
        val options = SendOptions(ConnectionPolicy.NEW, TIMEOUT, TIMEOUT)
        attempt.exchange = client.send(endpoint, outgoing, options, Listener(attempt))
    }

    private inner class Listener(
        private val attempt: RunningAttempt,
    ) : ResponseListener {
        private var collected: CollectedAnswer? = null

        override fun onHead(
            status: Int,
            headers: HeaderFields,
        ) = synchronized(this@KeyedPlainCall) {
            if (progress.head(attempt, headers, usable = true)) collected = CollectedAnswer(status, headers)
        }

        override fun onBodyChunk(bytes: ByteArray) = synchronized(this@KeyedPlainCall) {
            val fits = collected?.add(bytes) ?: return@synchronized
            if (!fits) progress.garbage(attempt)
        }

        override fun onComplete() = synchronized(this@KeyedPlainCall) {
            val finished = progress.whole(attempt) ?: return@synchronized
            val answered = collected ?: return@synchronized
            val kept = answered.headers.all.filterKeys { it in KEPT_HEADERS }
            val outcome = CallOutcome(answered.status, kept, OutcomeBody.Inline.encode(answered.body))
            events.keyedCallAnswered(finished, outcome)
        }

        override fun onFailure(failure: TransportFailure) =
            synchronized(this@KeyedPlainCall) { progress.failed(attempt, failure) }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(30)
        val KEPT_HEADERS = setOf("content-type", "location", "etag")
    }
}
