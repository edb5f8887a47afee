/*
 * HTTP interface of the platform stand-in.
 */
package org.vanillalink.standins.platform

import arrow.core.Either
import org.vanillalink.model.HostId
import org.vanillalink.model.HostStatus
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.NOT_FOUND
import org.vanillalink.standins.OK
import org.vanillalink.standins.sendJson
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
        response: ResponseWriter,
    ) {
        when {
            request.path == "/table/read" -> parse<ReadRequest>(request, response) { read(it, response) }
            request.path == "/table/scan" -> parse<ScanRequest>(request, response) { scan(it, response) }
            request.path == "/table/transact" -> parse<TransactionRequest>(request, response) { transact(it, response) }
            request.path == "/hosts" -> listHosts(request, response)
            request.path.startsWith(OBJECTS_PATH) -> serveObject(request, response)
            request.path == "/stand-in/behaviour" -> setBehaviour(request, response)
            request.path == "/stand-in/hosts" -> setHost(request, response)
            else -> response.respond(NOT_FOUND)
        }
    }

    private inline fun <reified T> parse(
        request: HttpRequestMessage,
        response: ResponseWriter,
        action: (T) -> Unit,
    ) {
        Json.read<T>(request.body).fold({ response.respond(BAD_REQUEST) }, action)
    }

    private fun read(
        request: ReadRequest,
        response: ResponseWriter,
    ) = respondRows(response, platform.withTable { it.readNow(request.keys.map(::RowKey).toSet()) })

    private fun scan(
        request: ScanRequest,
        response: ResponseWriter,
    ) = respondRows(response, platform.withTable { it.scanNow(request.prefix) })

    private fun respondRows(
        response: ResponseWriter,
        rows: Either<StoreFailure, Map<RowKey, Row>>,
    ) = rows.fold(
        { respondFailure(it, response) },
        { response.sendJson(RowsResponse(it.entries.associate(::toMessage))) },
    )

    private fun transact(
        request: TransactionRequest,
        response: ResponseWriter,
    ) {
        val writes = request.writes.map { ConditionalWrite(RowKey(it.key), it.expectedVersion, it.value) }
        val result = platform.withTable { it.transactNow(writes) }
        result.fold({ respondFailure(it, response) }, { response.sendJson(toResponse(it)) })
    }

    private fun toResponse(result: TransactionResult): TransactionResponse = when (result) {
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

    private fun respondFailure(
        failure: StoreFailure,
        response: ResponseWriter,
    ) = when (failure) {
        StoreFailure.Unavailable -> response.respond(SERVICE_UNAVAILABLE)
        StoreFailure.AnswerLost -> response.abort()
    }

    private fun listHosts(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        if (platform.behaviour == StoreBehaviour.UNAVAILABLE) {
            response.respond(SERVICE_UNAVAILABLE)
            return
        }
        val requestedDomain = request.queryParameter("failure-domain")
        val hosts = platform.hosts().filter { requestedDomain == null || it.failureDomain.value == requestedDomain }
        val entityTag = "\"${hosts.hashCode()}\""
        if (request.headers["if-none-match"] == entityTag) {
            response.respond(NOT_MODIFIED)
            return
        }
        val headers = HeaderFields.of("content-type" to "application/json", "etag" to entityTag)
        response.respond(OK, headers, Json.write(HostsResponse(hosts)))
    }

    private fun serveObject(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        if (platform.behaviour == StoreBehaviour.UNAVAILABLE) {
            response.respond(SERVICE_UNAVAILABLE)
            return
        }
        val name = request.path.removePrefix(OBJECTS_PATH)
        if (request.method == "PUT") {
            platform.objects[name] = request.body
            response.respond(OK)
            return
        }
        val content = platform.objects[name]
        if (content == null) response.respond(NOT_FOUND) else response.respond(OK, body = content)
    }

    private fun setBehaviour(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        platform.behaviour = StoreBehaviour.valueOf(request.queryParameter("behaviour").orEmpty())
        response.respond(OK)
    }

    private fun setHost(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val host = HostId(request.queryParameter("host").orEmpty())
        platform.setStatus(host, request.queryParameter("status")?.let(HostStatus::valueOf))
        response.respond(OK)
    }

    private companion object {
        const val OBJECTS_PATH = "/objects/"
        const val NOT_MODIFIED = 304
        const val SERVICE_UNAVAILABLE = 503
    }
}
