/*
 * HTTP interface of the metadata store, following its published protocol.
 */
package org.vanillalink.standins.rows

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.NOT_FOUND
import org.vanillalink.standins.sendJson
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Serves [store] and applies its [RowStore.fault]. */
class RowStoreHandler(
    private val store: RowStore,
) : HttpRequestHandler {
    /** Called when a page of a table has been read and further ones follow, before it is sent. */
    @Volatile
    var onPageRead: () -> Unit = {}
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "row-store").apply { isDaemon = true } }

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when (store.fault) {
            StoreFault.UNAVAILABLE -> response.respond(SERVICE_UNAVAILABLE, eraHeader())
            StoreFault.BUSY -> response.respond(TOO_MANY_REQUESTS, eraHeader())
            else -> serve(request, response)
        }
    }

    private fun serve(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when (request.path) {
            "/api/rows-tx" -> transact(request, response)
            "/api/rows-get" -> get(request, response)
            "/api/rows-feed" -> feed(request, response)
            else -> response.respond(NOT_FOUND)
        }
    }

    private fun transact(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val body = Json.read<JsonNode>(request.body).getOrNull()
        if (body == null) {
            response.respond(BAD_REQUEST)
            return
        }
        val expectedVersions = body.path("expectedRev").associate { address(it) to it.path("ver").asLong() }
        val puts = body.path("put").associate { address(it) to it.path("value").asText() }
        val removals = body.path("remove").map(::address).toSet()
        val version = store.transact(expectedVersions, puts, removals)
        when {
            store.fault == StoreFault.ANSWERS_LOST -> {
                response.abort()
            }

            version != null -> {
                response.sendJson(mapOf("ver" to version, "nowMs" to now()), headers = eraHeader())
            }

            else -> {
                response.sendJson(
                    rows(expectedVersions.keys.mapNotNull(store::row), 0),
                    PRECONDITION_FAILED,
                    eraHeader(),
                )
            }
        }
    }

    private fun get(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val (matchingRows, version) =
            store.read(
                request.queryParameter("table").orEmpty(),
                request.queryParameter("part").orEmpty(),
            )
        val from = request.queryParameter("from").orEmpty()
        val page = matchingRows.filter { it.address.key >= from }
        val hasMore = page.size > PAGE_SIZE
        val body = rows(page.take(PAGE_SIZE), version) + ("hasMore" to hasMore)
        if (hasMore) onPageRead()
        response.sendJson(body, headers = eraHeader())
    }

    private fun feed(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val table = request.queryParameter("table").orEmpty()
        val after = request.queryParameter("afterRev")?.toLong() ?: 0
        if (store.fault == StoreFault.HISTORY_LOST || !store.hasReached(after)) {
            response.respond(GONE, eraHeader())
            return
        }
        val isResponded = AtomicBoolean()
        val respondIfDue = { isTimedOut: Boolean ->
            val (changes, version) = store.changes(table, after)
            val isDue = changes.isNotEmpty() || isTimedOut
            if (isDue &&
                isResponded.compareAndSet(false, true)
            ) {
                response.sendJson(rows(changes, version), headers = eraHeader())
            }
            isDue
        }
        if (respondIfDue(false)) return
        store.notifyOnChanges { respondIfDue(false) }
        val wait = request.queryParameter("waitMs")?.toLong() ?: 0
        timer.schedule({ respondIfDue(true) }, wait, TimeUnit.MILLISECONDS)
    }

    private fun rows(
        rows: List<VersionedRow>,
        version: Long,
    ): Map<String, Any> = mapOf("rows" to rows.map(::row), "ver" to version, "nowMs" to now())

    private fun row(row: VersionedRow): Map<String, Any> {
        val address =
            mapOf(
                "table" to row.address.table,
                "part" to row.address.part,
                "key" to row.address.key,
                "ver" to row.version,
            )
        return address + (row.value?.let { mapOf("value" to it) } ?: mapOf("removed" to true))
    }

    private fun address(row: JsonNode) =
        RowAddress(row.path("table").asText(), row.path("part").asText(), row.path("key").asText())

    private fun eraHeader() = HeaderFields.of("store-era" to store.era.toString())

    private fun now(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private companion object {
        const val PAGE_SIZE = 500
        const val SERVICE_UNAVAILABLE = 503
        const val TOO_MANY_REQUESTS = 429
        const val PRECONDITION_FAILED = 412
        const val GONE = 410
    }
}
