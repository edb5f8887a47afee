/*
 * Executes orders and counts them. `GET /orders?order={text}` returns how often an order was executed here.
 */
package org.vanillalink.standins.plain

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import org.vanillalink.standins.OK
import org.vanillalink.standins.sendJson
import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpRequestHandler
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.Json
import org.vanillalink.transport.ResponseWriter
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** The number of executions of an order. */
data class RunCount(
    val runs: Int,
)

/** The response to an order. */
data class OrderReceipt(
    val order: String,
    val run: Int,
    val host: HostId,
)

internal class PlainServiceHandler(
    private val host: HostId,
    private val boot: String,
    private val workMilliseconds: Long,
) : HttpRequestHandler {
    private val timer = Executors.newSingleThreadScheduledExecutor { task -> Thread(task).apply { isDaemon = true } }
    private val runs = ConcurrentHashMap<String, Int>()
    private val running = ConcurrentHashMap.newKeySet<AttemptId>()
    private val reportSequence = AtomicLong()

    override fun handle(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        when {
            request.path == TargetProtocol.REPORT_PATH -> response.sendJson(report())
            request.method == "GET" -> response.sendJson(RunCount(runs[request.queryParameter("order").orEmpty()] ?: 0))
            else -> runOrder(request, response)
        }
    }

    private fun runOrder(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) {
        val attempt = AttemptId(request.headers[TargetProtocol.ATTEMPT_HEADER].orEmpty())
        val order = request.body.decodeToString()
        val runNumber = runs.merge(order, 1, Int::plus) ?: 1
        running.add(attempt)
        val headers =
            HeaderFields.of(TargetProtocol.ATTEMPT_HEADER to attempt.value, "content-type" to "application/json")
        timer.schedule({
            running.remove(attempt)
            response.respond(OK, headers, Json.write(OrderReceipt(order, runNumber, host)))
        }, workMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun report() = TargetReport(
        host = host,
        boot = BootId(boot),
        sequence = reportSequence.incrementAndGet(),
        phase = TargetPhase.READY,
        runningAttempts = running.toSet(),
    )
}
