/*
 * The metadata store's published HTTP protocol.
 */
package org.vanillalink.standins.rows

import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.standins.BAD_REQUEST
import org.vanillalink.standins.NOT_FOUND
import org.vanillalink.standins.answerJson
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.read
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean

/** Serves [store]. */
class RowStoreHandler(
    private val store: RowStore,
) : HttpRequestHandler {
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it, "row-store").apply { isDaemon = true } }

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when (store.trouble) {
            StoreTrouble.UNAVAILABLE -> response.respond(UNAVAILABLE)
            StoreTrouble.BUSY -> response.respond(TOO_MANY)
            else -> serve(request, response)
        }
    }

    private fun serve(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        when (request.path) {
            "/api/rows-tx" -> transact(request, answer)
            "/api/rows-get" -> get(request, answer)
            "/api/rows-feed" -> feed(request, answer)
            else -> answer.respond(NOT_FOUND)
        }
    }

    private fun transact(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val body = Json.read<JsonNode>(request.body).getOrNull()
        if (body == null) {
            answer.respond(BAD_REQUEST)
            return
        }
        val expected = body.path("expectedRev").associate { address(it) to it.path("ver").asLong() }
        val puts = body.path("put").associate { address(it) to it.path("value").asText() }
        val removals = body.path("remove").map(::address).toSet()
        val version = store.transact(expected, puts, removals)
        when {
            store.trouble == StoreTrouble.ANSWERS_LOST -> answer.abort()
            version != null -> answer.answerJson(mapOf("ver" to version, "nowMs" to now()))
            else -> answer.answerJson(rows(expected.keys.mapNotNull(store::row), 0), CONDITION_FAILED)
        }
    }

    private fun get(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        val (found, version) =
            store.read(
                request.queryParameter("table").orEmpty(),
                request.queryParameter("part").orEmpty(),
            )
        val from = request.queryParameter("from").orEmpty()
        val page = found.filter { it.address.key >= from }
        answer.answerJson(rows(page.take(PAGE), version) + ("hasMore" to (page.size > PAGE)))
    }

    private fun feed(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) {
        if (store.trouble == StoreTrouble.HISTORY_LOST) {
            answer.respond(GONE)
            return
        }
        val table = request.queryParameter("table").orEmpty()
        val after = request.queryParameter("afterRev")?.toLong() ?: 0
        val isAnswered = AtomicBoolean()
        val tell = { isLast: Boolean ->
            val (changes, version) = store.changes(table, after)
            val isDue = changes.isNotEmpty() || isLast
            if (isDue && isAnswered.compareAndSet(false, true)) answer.answerJson(rows(changes, version))
            isDue
        }
        if (tell(false)) return
        store.whenChanged { tell(false) }
        val wait = request.queryParameter("waitMs")?.toLong() ?: 0
        timer.schedule({ tell(true) }, wait, TimeUnit.MILLISECONDS)
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

    private fun now(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())

    private companion object {
        const val PAGE = 500
        const val UNAVAILABLE = 503
        const val TOO_MANY = 429
        const val CONDITION_FAILED = 412
        const val GONE = 410
    }
}
