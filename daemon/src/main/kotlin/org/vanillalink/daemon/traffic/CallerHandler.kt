/*
 * The callers' port: checks a request, finds out whose it is, and hands it to the control thread.
 */
package org.vanillalink.daemon.traffic

import arrow.core.Either
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import org.vanillalink.configuration.ConfigurationDocument
import org.vanillalink.configuration.ServiceKind
import org.vanillalink.configuration.ServiceSettings
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.dispatch.record.KeyedCall
import org.vanillalink.dispatch.record.RecordId
import org.vanillalink.model.AttemptId
import org.vanillalink.model.IdempotencyKey
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.routing.RouterEvent
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import org.vanillalink.transport.refuse
import java.time.Clock
import java.time.Duration
import java.time.Instant
import java.util.UUID

/** What callers' requests are checked against; replaced whole when the configuration changes. */
data class CallerRules(
    val document: ConfigurationDocument,
    val directory: WorkspaceDirectory,
)

/** Handles the callers' port. */
class CallerHandler(
    private val client: HttpClient,
    private val events: CallEvents,
    private val clock: Clock,
) : HttpRequestHandler {
    /** The rules in force; null while no configuration is. */
    @Volatile
    var rules: CallerRules? = null

    /** Whether new requests are refused because the daemon is about to end. */
    @Volatile
    var draining: Boolean = false

    /** Takes requests that a daemon of another failure domain passes on; they aren't passed on again. */
    val forwarded: HttpRequestHandler =
        HttpRequestHandler { request, answer ->
            val attempt = request.headers[CallerProtocol.FORWARDED_HEADER]
            take(request, if (attempt == null) answer else EchoingAnswer(answer, attempt))
        }

    /** A caller's own word that its request was passed on counts for nothing. */
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val headers = request.headers.without(setOf(CallerProtocol.FORWARDED_HEADER))
        take(HttpRequestMessage(request.method, request.target, headers, request.body), response)
    }

    private fun take(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val id = RequestId(UUID.randomUUID().toString())
        val accepted = either { accept(id, request, answer) }
        val forwardingAttempt = request.headers[CallerProtocol.FORWARDED_HEADER]
        forwardingAttempt?.let { events.forwardedArrived(id, it) }
        accepted.fold(
            { refusal ->
                events.refusedAtEntry(id, refusal, forwardingAttempt != null)
                answer.refuse(refusal, id.value)
            },
            { begin(it, answer) },
        )
    }

    private class AcceptedCall(
        val call: ActiveCall,
        val arrival: RouterEvent.RequestArrived,
        val keyed: KeyedCall? = null,
        val fingerprint: CallFingerprint? = null,
    )

    private fun begin(
        accepted: AcceptedCall,
        answer: ResponseWriter,
    ) {
        answer.onCallerDisconnected { events.happened(RouterEvent.RequestCancelled(accepted.call.request)) }
        val keyed = accepted.keyed
        val fingerprint = accepted.fingerprint
        when {
            keyed != null -> events.keyedCallArrived(accepted.call, keyed, accepted.arrival)
            fingerprint != null -> events.modelCallArrived(accepted.call, fingerprint, accepted.arrival)
            else -> events.arrived(accepted.call, accepted.arrival)
        }
    }

    private fun Raise<Refusal>.accept(
        id: RequestId,
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ): AcceptedCall {
        val current = rules
        ensure(current != null && !draining) { NOT_READY }
        val caller = current.directory.authenticate(request.headers).bind()
        val isCompletion = request.path == CallerProtocol.COMPLETIONS_PATH
        val body = if (isCompletion) completionBody(request) else null
        val service = ensureNotNull(body?.let(::modelOf) ?: serviceOf(request)) { unknownService(request.path) }
        val settings = ensureNotNull(current.document.services[service]) { unknownService(service.value) }
        val kind = if (isCompletion) ServiceKind.MODEL else ServiceKind.PLAIN
        ensure(settings.kind == kind) { unknownService(service.value) }
        ensure(caller.mayUse(service)) {
            refusal(RefusalReason.FORBIDDEN, "Workspace '${caller.workspace}' may not use '$service'.")
        }
        val arrival = arrival(id, service, settings, caller, request, current.document)
        val timed = if (arrival.forwarded) answer else events.timed(service, answer)
        if (body != null) {
            val call = ModelCall(id, body, request.headers, timed, client, events, clock)
            val described = withPrompt(arrival, body)
            return AcceptedCall(call, described, fingerprint = fingerprintOf(body, arrival))
        }
        // The daemon that passes a keyed call on holds its record.
        val keyed = if (arrival.repeatable || arrival.forwarded) null else keyedCall(request, arrival)
        return AcceptedCall(plainCall(keyed, arrival, request, timed), arrival, keyed)
    }

    private fun Raise<Refusal>.completionBody(request: HttpRequestMessage): ObjectNode {
        ensure(request.method == "POST") { refusal(RefusalReason.MALFORMED_REQUEST, "Use POST.") }
        val body = Json.read<JsonNode>(request.body)
        val parsed = body.mapLeft { refusal(RefusalReason.MALFORMED_REQUEST, "Broken JSON: ${it.detail}") }.bind()
        val node = parsed as? ObjectNode
        ensure(node != null && node.path("model").isTextual && node.path("messages").isArray) {
            refusal(RefusalReason.MALFORMED_REQUEST, "A JSON object with 'model' and 'messages' is needed.")
        }
        return node
    }

    /** A resend is the same request whether it asks for a stream or not, and wherever it was passed on. */
    private fun fingerprintOf(
        body: ObjectNode,
        arrival: RouterEvent.RequestArrived,
    ): CallFingerprint {
        val asked = body.deepCopy().without<ObjectNode>("stream")
        return CallFingerprint.forModelRequest(arrival.workspace, arrival.service, Json.write(asked))
    }

    private fun modelOf(body: ObjectNode) = ServiceName(body.path("model").asText())

    private fun serviceOf(request: HttpRequestMessage): ServiceName? {
        if (!request.path.startsWith(CallerProtocol.SERVICES_PREFIX)) return null
        val name = request.path.removePrefix(CallerProtocol.SERVICES_PREFIX).substringBefore('/')
        return name.takeIf { it.isNotEmpty() }?.let(::ServiceName)
    }

    private fun withPrompt(
        arrival: RouterEvent.RequestArrived,
        body: ObjectNode,
    ) = arrival.copy(
        estimatedTokens = body.path("max_tokens").asInt(ESTIMATED_TOKENS).coerceAtLeast(1),
        prefixFingerprints = PromptPrefixes.of(arrival.workspace, body.path("messages")),
    )

    private fun plainCall(
        keyed: KeyedCall?,
        arrival: RouterEvent.RequestArrived,
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ): ActiveCall {
        val target = request.target.removePrefix(CallerProtocol.SERVICES_PREFIX + arrival.service).ifEmpty { "/" }
        val headers = request.headers.without(PRIVATE_HEADERS)
        val message = HttpRequestMessage(request.method, target, headers, request.body)
        if (keyed != null) return KeyedPlainCall(arrival.request, message, request, answer, client, events, clock)
        return PlainCall(arrival.request, message, request, arrival.repeatable, answer, client, events, clock)
    }

    private fun keyedCall(
        request: HttpRequestMessage,
        arrival: RouterEvent.RequestArrived,
    ): KeyedCall? {
        val key = request.headers[CallerProtocol.IDEMPOTENCY_HEADER]?.takeIf { it.isNotEmpty() } ?: return null
        return KeyedCall(
            request = arrival.request,
            record = RecordId.forKey(arrival.workspace, arrival.service, IdempotencyKey(key)),
            attempt = AttemptId(arrival.request.value),
            fingerprint = CallFingerprint.forCall(request.method, request.target, request.body),
            workspace = arrival.workspace,
            deadline = arrival.deadline,
        )
    }

    private fun Raise<Refusal>.arrival(
        id: RequestId,
        service: ServiceName,
        settings: ServiceSettings,
        caller: Caller,
        request: HttpRequestMessage,
        document: ConfigurationDocument,
    ) = RouterEvent.RequestArrived(
        request = id,
        service = service,
        workspace = caller.workspace,
        deadline = deadline(request, document).bind(),
        priority = settings.priority + caller.settings.priority,
        forwarded = request.headers[CallerProtocol.FORWARDED_HEADER] != null,
        repeatable = settings.kind == ServiceKind.MODEL || request.method in settings.repeatableMethods,
    )

    private fun deadline(
        request: HttpRequestMessage,
        document: ConfigurationDocument,
    ): Either<Refusal, Instant> = either {
        val text = request.headers[CallerProtocol.DEADLINE_HEADER]
        val given = text?.toLongOrNull() ?: document.limits.defaultDeadlineMilliseconds
        ensure((text == null || text.toLongOrNull() != null) && given > 0) {
            refusal(RefusalReason.MALFORMED_REQUEST, "${CallerProtocol.DEADLINE_HEADER}: not a positive number.")
        }
        clock.instant().plus(Duration.ofMillis(given))
    }

    private fun unknownService(name: String) = refusal(RefusalReason.UNKNOWN_SERVICE, "No service is at '$name'.")

    private companion object {
        /** What a model call is taken to cost where it doesn't bound its answer. */
        const val ESTIMATED_TOKENS = 256
        val RETRY_WHEN_READY: Duration = Duration.ofSeconds(2)
        val NOT_READY =
            Refusal(
                RefusalReason.NOT_READY,
                RefusalOutcome.NOT_RUN,
                "This daemon has no configuration yet or is about to end; ask another.",
                RETRY_WHEN_READY,
            )
        val PRIVATE_HEADERS =
            setOf("authorization", "connection", "content-length", "transfer-encoding", "expect", "host")

        fun refusal(
            reason: RefusalReason,
            detail: String,
        ) = Refusal(reason, RefusalOutcome.NOT_RUN, detail)
    }
}
