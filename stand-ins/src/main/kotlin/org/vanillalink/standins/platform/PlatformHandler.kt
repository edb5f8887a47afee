/*
 * The HTTP interface of the platform's stand-in.
 */
package org.vanillalink.standins.platform

import arrow.core.Either
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.NOT_FOUND
import org.vanillalink.standins.OK
import org.vanillalink.standins.answerJson
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TransactionResult
import org.vanillalink.store.http.HostsAnswer
import org.vanillalink.store.http.ReadRequest
import org.vanillalink.store.http.RowMessage
import org.vanillalink.store.http.RowsAnswer
import org.vanillalink.store.http.ScanRequest
import org.vanillalink.store.http.TransactionAnswer
import org.vanillalink.store.http.TransactionRequest
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read

internal class PlatformHandler(
    private val platform: InMemoryPlatform,
) : HttpRequestHandler {
    override fun handle(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        when {
            request.path == "/table/read" -> withBody<ReadRequest>(request, answer) { read(it, answer) }
            request.path == "/table/scan" -> withBody<ScanRequest>(request, answer) { scan(it, answer) }
            request.path == "/table/transact" -> withBody<TransactionRequest>(request, answer) { transact(it, answer) }
            request.path == "/hosts" -> listHosts(request, answer)
            request.path.startsWith(OBJECTS) -> handleObject(request, answer)
            request.path == "/stand-in/behaviour" -> setBehaviour(request, answer)
            request.path == "/stand-in/hosts" -> setHost(request, answer)
            else -> answer.respond(NOT_FOUND)
        }
    }

    private inline fun <reified T> withBody(
        request: HttpRequestMessage,
        answer: ResponseWriter,
        action: (T) -> Unit,
    ) {
        Json.read<T>(request.body).fold({ answer.respond(BAD_REQUEST) }, action)
    }

    private fun read(
        request: ReadRequest,
        answer: ResponseWriter,
    ) = answerRows(answer, platform.withTable { it.readNow(request.keys.map(::RowKey).toSet()) })

    private fun scan(
        request: ScanRequest,
        answer: ResponseWriter,
    ) = answerRows(answer, platform.withTable { it.scanNow(request.prefix) })

    private fun answerRows(
        answer: ResponseWriter,
        rows: Either<StoreFailure, Map<RowKey, Row>>,
    ) = rows.fold({ fail(it, answer) }, { answer.answerJson(RowsAnswer(it.entries.associate(::toMessage))) })

    private fun transact(
        request: TransactionRequest,
        answer: ResponseWriter,
    ) {
        val writes = request.writes.map { ConditionalWrite(RowKey(it.key), it.expectedVersion, it.value) }
        val result = platform.withTable { it.transactNow(writes) }
        result.fold({ fail(it, answer) }, { answer.answerJson(toAnswer(it)) })
    }

    private fun toAnswer(result: TransactionResult): TransactionAnswer = when (result) {
        is TransactionResult.Committed -> {
            TransactionAnswer(committed = true, versions = result.versions.mapKeys { it.key.value })
        }

        is TransactionResult.Conflict -> {
            TransactionAnswer(
                committed = false,
                actual = result.actual.entries.associate { (key, row) -> key.value to row?.let(::toMessage) },
            )
        }
    }

    private fun toMessage(entry: Map.Entry<RowKey, Row>) = entry.key.value to toMessage(entry.value)

    private fun toMessage(row: Row) = RowMessage(row.version, row.value)

    private fun fail(
        failure: StoreFailure,
        answer: ResponseWriter,
    ) = when (failure) {
        StoreFailure.Unavailable -> answer.respond(UNAVAILABLE)
        StoreFailure.AnswerLost -> answer.abort()
    }

    private fun listHosts(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        if (platform.behaviour == StoreBehaviour.UNAVAILABLE) {
            answer.respond(UNAVAILABLE)
            return
        }
        val wanted = request.queryParameter("failure-domain")
        val hosts = platform.hosts().filter { wanted == null || it.failureDomain.value == wanted }
        val entityTag = "\"${hosts.hashCode()}\""
        if (request.headers["if-none-match"] == entityTag) {
            answer.respond(NOT_MODIFIED)
            return
        }
        val headers = HeaderFields.of("content-type" to "application/json", "etag" to entityTag)
        answer.respond(OK, headers, Json.write(HostsAnswer(hosts)))
    }

    private fun handleObject(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        if (platform.behaviour == StoreBehaviour.UNAVAILABLE) {
            answer.respond(UNAVAILABLE)
            return
        }
        val name = request.path.removePrefix(OBJECTS)
        if (request.method == "PUT") {
            platform.objects[name] = request.body
            answer.respond(OK)
            return
        }
        val content = platform.objects[name]
        if (content == null) answer.respond(NOT_FOUND) else answer.respond(OK, body = content)
    }

    private fun setBehaviour(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        platform.behaviour = StoreBehaviour.valueOf(request.queryParameter("behaviour").orEmpty())
        answer.respond(OK)
    }

    private fun setHost(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val host = HostId(request.queryParameter("host").orEmpty())
        platform.setStatus(host, request.queryParameter("status")?.let(HostStatus::valueOf))
        answer.respond(OK)
    }

    private companion object {
        const val OBJECTS = "/objects/"
        const val NOT_MODIFIED = 304
        const val UNAVAILABLE = 503
    }
}
