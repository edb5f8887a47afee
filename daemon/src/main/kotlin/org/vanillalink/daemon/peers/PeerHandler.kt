/*
 * The peers' port: messages between daemons, and requests that a daemon of another failure domain passes on.
 */
package org.vanillalink.daemon.peers

import arrow.core.flatMap
import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.daemon.operators.answerJson
import org.vanillalink.dispatch.record.OwnerStatus
import org.vanillalink.dispatch.record.RecordId
import org.vanillalink.membership.Heartbeat
import org.vanillalink.membership.ReportDelta
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.security.MessageDigest
import java.time.Clock

/** Handles the peers' port; [forwarded] takes requests that are passed on. */
class PeerHandler(
    private val secret: String?,
    private val loop: ControlLoop,
    private val executor: PeerExecutor,
    private val permits: PermitExecutor,
    private val strikes: StrikeExecutor,
    private val forwarded: HttpRequestHandler,
    private val clock: Clock,
) : HttpRequestHandler {
    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when {
            !isAllowed(request) -> response.respond(UNAUTHORIZED)
            request.path == PeerProtocol.HEARTBEAT_PATH -> heartbeat(request, response)
            request.path == PeerProtocol.REPORTS_PATH -> reports(request, response)
            request.path == PeerProtocol.ADMISSION_PATH -> admission(request, response)
            request.path == PeerProtocol.PERMITS_PATH -> permits(request, response)
            request.path == PeerProtocol.STRIKES_PATH -> strikes(request, response)
            request.path == PeerProtocol.CONFIGURATION_PATH -> configuration(request, response)
            request.path.startsWith(PeerProtocol.DISPATCH_PREFIX) -> dispatchStatus(request, response)
            request.path.startsWith(PeerProtocol.FORWARD_PREFIX) -> forwarded.handle(unwrap(request), response)
            else -> response.respond(NOT_FOUND)
        }
    }

    private fun isAllowed(request: HttpRequestMessage): Boolean {
        val expected = secret ?: return true
        val given = request.headers[PeerProtocol.SECRET_HEADER].orEmpty()
        return MessageDigest.isEqual(given.encodeToByteArray(), expected.encodeToByteArray())
    }

    private fun heartbeat(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = Json.read<Heartbeat>(request.body).fold(
        { answer.respond(BAD_REQUEST) },
        { executor.receive(it, answer) },
    )

    private fun reports(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = Json.read<ReportDelta>(request.body).fold(
        { answer.respond(BAD_REQUEST) },
        { delta ->
            loop.tell(DaemonEvent.ReportsShared(delta))
            answer.answerJson(ReportsAnswer(delta.change))
        },
    )

    private fun admission(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = Json.read<AdmissionEnvelope>(request.body).flatMap { it.open() }.fold(
        { answer.respond(BAD_REQUEST) },
        { news ->
            loop.tell(DaemonEvent.ForAdmission(news))
            answer.answerJson(AdmissionReceipt(taken = true))
        },
    )

    private fun permits(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = Json.read<PermitMessage>(request.body).fold(
        { answer.respond(BAD_REQUEST) },
        { permits.receive(it, answer) },
    )

    private fun strikes(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = Json.read<StrikesMessage>(request.body).fold(
        { answer.respond(BAD_REQUEST) },
        { answer.answerJson(strikes.receive(it)) },
    )

    private fun configuration(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val after = request.queryParameter("after")?.toLongOrNull() ?: 0
        loop.ask { changesAfter(it, after) }.thenAccept { answer.answerJson(it) }
    }

    private fun changesAfter(
        control: DaemonControl,
        revision: Long,
    ): ConfigurationChangesAnswer {
        val state = control.replicaState
        val changes = state.inForce?.set?.changesAfter(revision)
        return ConfigurationChangesAnswer(changes, state.age(clock.instant())?.toMillis())
    }

    private fun dispatchStatus(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val record = RecordId(request.path.removePrefix(PeerProtocol.DISPATCH_PREFIX))
        loop.ask { statusOf(it, record) }.thenAccept { answer.answerJson(it) }
    }

    private fun statusOf(
        control: DaemonControl,
        record: RecordId,
    ): DispatchStatusAnswer {
        val boot = control.dispatchState.owner.boot.value
        return when (val status = control.dispatchState.getStatus(record)) {
            OwnerStatus.Running -> {
                DispatchStatusAnswer(boot, DispatchStatusKind.RUNNING)
            }

            is OwnerStatus.Finished -> {
                val fingerprint = status.fingerprint.value
                DispatchStatusAnswer(boot, DispatchStatusKind.FINISHED, fingerprint, status.outcome)
            }

            OwnerStatus.NotFound, OwnerStatus.Unreachable -> {
                DispatchStatusAnswer(boot, DispatchStatusKind.NOT_HERE)
            }
        }
    }

    private fun unwrap(request: HttpRequestMessage): HttpRequestMessage {
        val headers = request.headers.without(setOf(PeerProtocol.SECRET_HEADER))
        val target = request.target.removePrefix(PeerProtocol.FORWARD_PREFIX)
        return HttpRequestMessage(request.method, target, headers, request.body)
    }

    private companion object {
        const val BAD_REQUEST = 400
        const val UNAUTHORIZED = 401
        const val NOT_FOUND = 404
    }
}
