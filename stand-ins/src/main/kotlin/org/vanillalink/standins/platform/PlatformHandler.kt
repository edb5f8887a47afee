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
import org.vanillalink.store.http.HostsResponse
import org.vanillalink.store.http.ReadRequest
import org.vanillalink.store.http.RowMessage
import org.vanillalink.store.http.RowsResponse
import org.vanillalink.store.http.ScanRequest
import org.vanillalink.store.http.TransactionRequest
import org.vanillalink.store.http.TransactionResponse
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.transport.AnswerWriter
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.read

internal class PlatformHandler(
    private val platform: InMemoryPlatform,
) : HttpRequestHandler {
    override fun handle(
        request: HttpRequestMessage,
        answer: AnswerWriter,
    ) {
        when {
            request.path == "/table/read" -> withBody<ReadRequest>(request, answer) { read(it, answer) }
            request.path == "/table/scan" -> withBody<ScanRequest>(request, answer) { scan(it, answer) }
            request.path == "/table/transact" -> withBody<TransactionRequest>(request, answer) { transact(it, answer) }
            request.path == "/hosts" -> listHosts(request, answer)
            request.path.startsWith(OBJECTS) -> handleObject(request, answer)
            request.path == "/stand-in/behaviour" -> setBehaviour(request, answer)
            request.path == "/stand-in/hosts" -> setHost(request, answer)
            else -> answer.answer(NOT_FOUND)
        }
    }

    private inline fun <reified T> withBody(
        request: HttpRequestMessage,
        answer: AnswerWriter,
        action: (T) -> Unit,
    ) {
        Json.read<T>(request.body).fold({ answer.answer(BAD_REQUEST) }, action)
    }

    private fun read(
        request: ReadRequest,
        answer: AnswerWriter,
    ) = answerRows(answer, platform.withTable { it.readNow(request.keys.map(::RowKey).toSet()) })

    private fun scan(
        request: ScanRequest,
        answer: AnswerWriter,
    ) = answerRows(answer, platform.withTable { it.scanNow(request.prefix) })

    private fun answerRows(
        answer: AnswerWriter,
        rows: Either<StoreFailure, Map<RowKey, Row>>,
    ) = rows.fold({ fail(it, answer) }, { answer.answerJson(RowsResponse(it.entries.associate(::toMessage))) })

    private fun transact(
        request: TransactionRequest,
        answer: AnswerWriter,
    ) {
        val writes = request.writes.map { ConditionalWrite(RowKey(it.key), it.expectedVersion, it.value) }
        val result = platform.withTable { it.transactNow(writes) }
        result.fold({ fail(it, answer) }, { answer.answerJson(toAnswer(it)) })
    }

    private fun toAnswer(result: TransactionResult): TransactionResponse = when (result) {
        is TransactionResult.Committed -> {
            TransactionResponse(committed = true, versions = result.versions.mapKeys { it.key.value })
        }

        is TransactionResult.Conflict -> {
            TransactionResponse(
                committed = false,
                actual = result.actual.entries.associate { (key, row) -> key.value to row?.let(::toMessage) },
            )
        }
    }

    private fun toMessage(entry: Map.Entry<RowKey, Row>) = entry.key.value to toMessage(entry.value)

    private fun toMessage(row: Row) = RowMessage(row.version, row.value)

    private fun fail(
        failure: StoreFailure,
        answer: AnswerWriter,
    ) = when (failure) {
        StoreFailure.Unavailable -> answer.answer(UNAVAILABLE)
        StoreFailure.AnswerLost -> answer.abort()
    }

    private fun listHosts(
        request: HttpRequestMessage,
        answer: AnswerWriter,
    ) {
        if (platform.behaviour == StoreBehaviour.UNAVAILABLE) {
            answer.answer(UNAVAILABLE)
            return
        }
        val wanted = request.queryParameter("failure-domain")
        val hosts = platform.hosts().filter { wanted == null || it.failureDomain.value == wanted }
        val entityTag = "\"${hosts.hashCode()}\""
        if (request.headers["if-none-match"] == entityTag) {
            answer.answer(NOT_MODIFIED)
            return
        }
        val headers = HeaderFields.of("content-type" to "application/json", "etag" to entityTag)
        answer.answer(OK, headers, Json.write(HostsResponse(hosts)))
    }

    private fun handleObject(
        request: HttpRequestMessage,
        answer: AnswerWriter,
    ) {
        if (platform.behaviour == StoreBehaviour.UNAVAILABLE) {
            answer.answer(UNAVAILABLE)
            return
        }
        val name = request.path.removePrefix(OBJECTS)
        if (request.method == "PUT") {
            platform.objects[name] = request.body
            answer.answer(OK)
            return
        }
        val content = platform.objects[name]
        if (content == null) answer.answer(NOT_FOUND) else answer.answer(OK, body = content)
    }

    private fun setBehaviour(
        request: HttpRequestMessage,
        answer: AnswerWriter,
    ) {
        platform.behaviour = StoreBehaviour.valueOf(request.queryParameter("behaviour").orEmpty())
        answer.answer(OK)
    }

    private fun setHost(
        request: HttpRequestMessage,
        answer: AnswerWriter,
    ) {
        val host = HostId(request.queryParameter("host").orEmpty())
        platform.setStatus(host, request.queryParameter("status")?.let(HostStatus::valueOf))
        answer.answer(OK)
    }

    private companion object {
        const val OBJECTS = "/objects/"
        const val NOT_MODIFIED = 304
        const val UNAVAILABLE = 503
    }
}
