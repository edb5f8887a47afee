/*
 * One call to a plain service. The target's answer is passed on as it comes; it must repeat the attempt's id.
 */
package org.vanillalink.daemon.traffic

import org.vanillalink.control.AttemptTarget
import org.vanillalink.model.AttemptId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.ConnectionPolicy
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.OUTCOME_HEADER
import org.vanillalink.transport.ResponseListener
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.SendOptions
import org.vanillalink.transport.TransportFailure
import org.vanillalink.transport.refuse
import java.time.Clock
import java.time.Duration

/**
 * A call of [request] to a plain service. [message] is what the target gets; [original] is what came, for passing on to
 * another failure domain.
 */
class PlainCall(
    override val request: RequestId,
    private val message: HttpRequestMessage,
    private val original: HttpRequestMessage,
    private val repeatable: Boolean,
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

    @Synchronized
    override fun complete() = answer.finish()

    @Synchronized
    override fun refuse(refusal: Refusal) {
        stopAttempt()
        if (progress.partGiven) answer.abort() else answer.refuse(refusal, request.value)
    }

    @Synchronized
    override fun stopAttempt(): AttemptTarget? = progress.withdraw()

    private fun send(
        attempt: RunningAttempt,
        endpoint: Endpoint,
        content: HttpRequestMessage,
        fields: HeaderFields,
    ) {
        val outgoing = HttpRequestMessage(content.method, content.target, fields, content.body)
        // On a connection that was used before, a loss couldn't be told from a run.
        val connection = if (repeatable) ConnectionPolicy.REUSE_IDLE else ConnectionPolicy.NEW
        val options = SendOptions(connection, ANSWER_TIMEOUT, ANSWER_TIMEOUT)
        attempt.exchange = client.send(endpoint, outgoing, options, Listener(attempt))
        answer.onWritable { attempt.setReading(true) }
    }

    private inner class Listener(
        private val attempt: RunningAttempt,
    ) : ResponseListener {
        override fun onHead(
            status: Int,
            headers: HeaderFields,
        ) = synchronized(this@PlainCall) {
            if (!progress.head(attempt, headers, usable = true)) return@synchronized
            progress.partGiven = true
            val kept = headers.without(DROPPED_HEADERS).with(CallerProtocol.REQUEST_HEADER, request.value)
            answer.start(status, kept)
        }

        override fun onBodyChunk(bytes: ByteArray) = synchronized(this@PlainCall) {
            if (progress.running !== attempt) return@synchronized
            answer.write(bytes)
            if (!answer.isWritable) attempt.setReading(false)
        }

        override fun onComplete() = synchronized(this@PlainCall) {
            progress.whole(attempt)?.let(events::happened) ?: Unit
        }

        override fun onFailure(failure: TransportFailure) =
            synchronized(this@PlainCall) { progress.failed(attempt, failure) }
    }

    private companion object {
        val ANSWER_TIMEOUT: Duration = Duration.ofSeconds(30)
        val DROPPED_HEADERS = ForwardTarget.HOP_HEADERS + OUTCOME_HEADER + TargetProtocol.ATTEMPT_HEADER
    }
}
