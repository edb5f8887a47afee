/*
 * A daemon on an entry host: callers' traffic, control, and what is told to peers.
 */
package org.vanillalink.gateway

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.vanillalink.gateway.control.ControlLoop
import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.SystemEntryClock
import org.vanillalink.gateway.logs.CallLog
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.gateway.logs.LoopDelay
import org.vanillalink.gateway.logs.VirtualMachineUsage
import org.vanillalink.gateway.peers.PeerExchange
import org.vanillalink.gateway.ports.CallProtocol
import org.vanillalink.gateway.ports.EntrySettings
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.gateway.traffic.CallHandler
import org.vanillalink.gateway.traffic.LiveTraffic
import org.vanillalink.gateway.traffic.TrafficContext
import org.vanillalink.store.TableStore
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ServerLimits
import java.time.Duration
import kotlin.random.Random

/** What the daemon reaches the outside by. */
class EntryPorts(
    val http: HttpClient,
    val registry: Registry,
    val table: TableStore,
    val targets: TargetControl,
    val protocol: CallProtocol,
    /** How many log lines were dropped because nobody read them. */
    val droppedLines: () -> Long = { 0 },
)

/** Runs from construction until [stop]. */
class EntryDaemon(
    private val settings: EntrySettings,
    private val loops: NettyEventLoops,
    ports: EntryPorts,
) : AutoCloseable {
    private val clock = SystemEntryClock
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val lines = EventLines(settings.daemon, clock::steady)
    private val thread = ControlThread()
    private val random = Random(settings.daemon.hashCode() + clock.wall())
    private val trafficDelay = LoopDelay("traffic", metrics, lines, VirtualMachineUsage)
    private val controlDelay = LoopDelay("control", metrics, lines, VirtualMachineUsage)
    private val live = LiveTraffic(settings.bounds, loops, random, clock::steady, trafficDelay)
    private val control =
        ControlLoop(settings, thread, ports.registry, ports.table, ports.targets, live, lines, clock, controlDelay)
    private val peers = PeerExchange(settings, loops, thread, ports.table, control, live, lines, clock, metrics)
    private val log = CallLog(metrics, clock::steady, ::decisionInputs)
    private val handler =
        CallHandler(
            TrafficContext(live.state, ports.http, ports.protocol, log, live.active, clock::steady, loops::schedule),
            { control.freshness.isFresh(clock.reading(), control.keyBound()) },
            random,
            live::sawRequest,
        )
    private val readiness = NettyHttpServer(loops, settings.readiness, ServerLimits(), ::answerReadiness)
    private val metricsServer = NettyHttpServer(loops, settings.metrics, ServerLimits(), ::answerMetrics)
    private val callers = NettyHttpServer(loops, settings.callers, ::limits, handler)

    init {
        metrics.gauge("vanillalink.requests.in.progress", live) { it.active.count.toDouble() }
        metrics.gauge("vanillalink.groups.routable", live) {
            it.state.view.groups.size
                .toDouble()
        }
        metrics.gauge("vanillalink.configuration.version", control) { (it.configurationVersion ?: 0).toDouble() }
        metrics.gauge("vanillalink.log.dropped", ports) { it.droppedLines().toDouble() }
        control.start()
        peers.start()
        lines.record("started", "failureDomain" to settings.failureDomain, "callers" to settings.callers)
    }

    /** New settings have been read; addresses don't change while the daemon runs. */
    fun reloaded(settings: EntrySettings) {
        lines.record("reloaded", "same" to (settings == this.settings))
    }

    /** Says that it leaves, finishes what is under way, and ends before it would be killed. */
    fun stop() {
        val began = clock.steady()
        lines.record("stopping", "inProgress" to callers.requestsInProgress)
        thread.execute(control::leave)
        callers.disableKeepAlive()
        sleepUntil(began + REDIRECTION_MILLISECONDS) { false }
        callers.drain()
        val grace = settings.bounds.graceMilliseconds
        val last = began + grace - grace / END_MARGIN_PART
        sleepUntil(last) { callers.requestsInProgress == 0 }
        lines.record("stopped", "inProgress" to callers.requestsInProgress, "tookMs" to clock.steady() - began)
    }

    /** Ends at once, without finishing anything. */
    override fun close() {
        thread.close()
        peers.close()
        listOf(callers, readiness, metricsServer).forEach { it.close() }
    }

    private fun sleepUntil(
        end: Long,
        isDone: () -> Boolean,
    ) {
        while (clock.steady() < end && !isDone()) Thread.sleep(POLL_MILLISECONDS)
    }

    private fun limits(): ServerLimits {
        val configured =
            live.state.view.catalog
                ?.configuration
                ?.limits ?: return ServerLimits()
        val idleSeconds = Duration.ofMillis(configured.idleMilliseconds).toSeconds().toInt()
        return ServerLimits(configured.headerBytes, configured.bodyBytes, CONNECTIONS, maxOf(1, idleSeconds))
    }

    private fun decisionInputs() = DecisionInputs(
        configurationVersion = control.configurationVersion,
        configurationAge = control.freshness.age(clock.reading()),
        sharers = live.state.view.sharers,
        loopDelay = trafficDelay.recent,
    )

    @Suppress("UnusedParameter")
    private fun answerReadiness(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = answer.respond(if (control.isReady) STATUS_OK else STATUS_UNAVAILABLE)

    @Suppress("UnusedParameter")
    private fun answerMetrics(
        request: HttpRequestMessage,
        answer: ResponseWriter,
    ) = answer.respond(
        STATUS_OK,
        HeaderFields.of("content-type" to "text/plain; version=0.0.4"),
        metrics.scrape().toByteArray(),
    )

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val CONNECTIONS = 4_000
        const val POLL_MILLISECONDS = 20L

        /** Callers are sent elsewhere once two readiness checks, a second apart, have failed. */
        const val REDIRECTION_MILLISECONDS = 2_500L

        /** One part in so many of the grace time is kept for ending the process itself, also on a slow host. */
        const val END_MARGIN_PART = 6
    }
}
