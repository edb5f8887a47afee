/*
 * The daemon on an entry host: it proxies callers' requests, controls groups of targets and exchanges messages with
 * peers.
 */
package org.vanillalink.gateway

import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.vanillalink.gateway.control.ControlLoop
import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.DecodingMonitor
import org.vanillalink.gateway.control.DecodingProgress
import org.vanillalink.gateway.control.SystemClock
import org.vanillalink.gateway.logs.CallerConnectionLogger
import org.vanillalink.gateway.logs.ConnectionMetrics
import org.vanillalink.gateway.logs.DecisionInputs
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.logs.GroupControlMetrics
import org.vanillalink.gateway.logs.JvmUsageMeter
import org.vanillalink.gateway.logs.LoopDelayMonitor
import org.vanillalink.gateway.logs.RequestLogger
import org.vanillalink.gateway.peers.PeerExchange
import org.vanillalink.gateway.peers.PoisonRecords
import org.vanillalink.gateway.ports.CallProtocol
import org.vanillalink.gateway.ports.GatewaySettings
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryRelay
import org.vanillalink.gateway.ports.TargetControl
import org.vanillalink.gateway.traffic.CallContext
import org.vanillalink.gateway.traffic.CallHandler
import org.vanillalink.gateway.traffic.TrafficMonitor
import org.vanillalink.store.TableStore
import org.vanillalink.transport.ConnectionCounters
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.HttpClient
import org.vanillalink.transport.HttpRequestMessage
import org.vanillalink.transport.MemoryBudget
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ResponseWriter
import org.vanillalink.transport.ServerLimits
import java.time.Duration
import kotlin.random.Random

/** The external systems and clients that the daemon uses. */
class GatewayPorts(
    val http: HttpClient,
    val registry: Registry,
    val table: TableStore,
    val targets: TargetControl,
    val protocol: CallProtocol,
    /** How many log lines were dropped because the log output was not read. */
    val droppedLogLines: () -> Long = { 0 },
    /** What [http] reports about its connections. */
    val connections: ConnectionCounters = ConnectionCounters(),
    /** What is held of responses to callers' requests. */
    val memory: MemoryBudget = MemoryBudget.unlimited(),
    /** Passes the registry on between daemons, or null where each daemon follows the store. */
    val relay: RegistryRelay? = null,
    /** How many calls were sent to the store. */
    val storeCalls: () -> Long = { 0 },
    /** What is being decoded of the registry. */
    val decoding: DecodingProgress = DecodingProgress(),
)

/** Serves from construction until [stop] or [close]. */
class GatewayDaemon(
    private val settings: GatewaySettings,
    private val eventLoops: NettyEventLoops,
    private val ports: GatewayPorts,
) : AutoCloseable {
    private val clock = SystemClock
    private val meterRegistry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val eventLogger = EventLogger(settings.daemon, clock::steady)
    private val controlThread = ControlThread()
    private val random = Random(settings.daemon.hashCode() + clock.wall())
    private val trafficLoopDelay = LoopDelayMonitor("traffic", meterRegistry, eventLogger, JvmUsageMeter)
    private val controlLoopDelay = LoopDelayMonitor("control", meterRegistry, eventLogger, JvmUsageMeter)
    private val traffic =
        TrafficMonitor(
            settings.limits,
            eventLoops,
            random,
            clock::steady,
            trafficLoopDelay,
            eventLogger,
            settings.failureDomain,
        )
    private val controlLoop =
        ControlLoop(
            settings,
            controlThread,
            ports.registry,
            ports.table,
            ports.targets,
            traffic,
            eventLogger,
            clock,
            controlLoopDelay,
            GroupControlMetrics(meterRegistry),
            ports.relay,
        )
    private val relayServer =
        ports.relay?.let { NettyHttpServer(eventLoops, settings.peerEndpoint, ServerLimits(), it) }
    private val peerExchange =
        PeerExchange(
            settings,
            eventLoops,
            controlThread,
            ports.table,
            controlLoop,
            traffic,
            eventLogger,
            clock,
            meterRegistry,
        )
    private val poisonRecords =
        PoisonRecords(ports.table, traffic, controlLoop::hasControl, controlThread, eventLogger, clock)

    /** Whether requests that are received from now on are refused. */
    @Volatile
    private var isDraining = false
    private val requestLogger = RequestLogger(meterRegistry, clock::steady, ::decisionInputs)
    private val callHandler =
        CallHandler(
            CallContext(
                traffic.state,
                ports.http,
                ports.protocol,
                requestLogger,
                traffic.activeCalls,
                clock::steady,
                eventLoops::schedule,
                ports.memory,
                traffic.waitingCalls,
            ),
            { controlLoop.isConfigurationFresh },
            random,
            traffic::recordRequestArrival,
            { isDraining },
        )
    private val readinessServer =
        NettyHttpServer(eventLoops, settings.readinessEndpoint, ServerLimits(), ::writeReadiness)
    private val metricsServer = NettyHttpServer(eventLoops, settings.metricsEndpoint, ServerLimits(), ::writeMetrics)
    private val callerConnectionLogger = CallerConnectionLogger(settings.daemon, meterRegistry, clock::steady)
    private val callerServer =
        NettyHttpServer(eventLoops, settings.callerEndpoint, ::serverLimits, callHandler, callerConnectionLogger)

    init {
        meterRegistry.gauge("vanillalink.requests.in.progress", traffic) { it.activeCalls.count.toDouble() }
        meterRegistry.gauge("vanillalink.requests.waiting", traffic) { it.waitingCalls.count.toDouble() }
        meterRegistry.gauge("vanillalink.groups.routable", traffic) {
            it.state.view.groups.size
                .toDouble()
        }
        meterRegistry.gauge(
            "vanillalink.configuration.version",
            controlLoop,
        ) { (it.configurationVersion ?: 0).toDouble() }
        meterRegistry.gauge("vanillalink.groups.standing", traffic) { it.standingGroups.toDouble() }
        meterRegistry.gauge("vanillalink.store.restorations", controlLoop) { it.restorations.toDouble() }
        registerStoreMetrics()
        meterRegistry.gauge("vanillalink.poison.blocks", traffic) {
            it.state.poisonDetector.blockCount
                .toDouble()
        }
        meterRegistry.gauge("vanillalink.targets.limited", traffic) {
            it
                .limits()
                .count { limit ->
                    limit.requestsPerSecond !=
                        null
                }.toDouble()
        }
        meterRegistry.gauge("vanillalink.limits.allowed", traffic) { it.state.limitedTargets.usage.allowed }
        meterRegistry.gauge("vanillalink.limits.sent", traffic) {
            it.state.limitedTargets.usage.sent
                .toDouble()
        }
        meterRegistry.gauge("vanillalink.log.dropped", ports) { it.droppedLogLines().toDouble() }
        ConnectionMetrics.register(meterRegistry, ports.connections)
        meterRegistry.gauge("vanillalink.memory.held.bytes", ports) { it.memory.heldBytes.toDouble() }
        meterRegistry.gauge("vanillalink.memory.limit.bytes", ports) { it.memory.limitBytes.toDouble() }
        meterRegistry.gauge("vanillalink.memory.overruns", ports) { it.memory.overruns.toDouble() }
        controlLoop.onRestored = {
            peerExchange.onStoreRestored()
            poisonRecords.onStoreRestored()
        }
        controlLoop.start()
        peerExchange.start()
        poisonRecords.start()
        DecodingMonitor(ports.decoding, eventLogger, meterRegistry).start(controlThread)
        eventLogger.record("started", "failureDomain" to settings.failureDomain, "callers" to settings.callerEndpoint)
    }

    /** Logs that settings have been read anew; addresses don't change while the daemon runs. */
    fun onSettingsReloaded(settings: GatewaySettings) {
        eventLogger.record("reloaded", "same" to (settings == this.settings))
    }

    /** Announces that this daemon leaves, drains requests, and returns before the process would be killed. */
    fun stop() {
        val startedAt = clock.steady()
        eventLogger.record("stopping", "inProgress" to callerServer.requestsInProgress)
        controlThread.execute(controlLoop::startLeaving)
        callerServer.disableKeepAlive()
        val schedule = StopSchedule(settings.limits)
        sleepUntil(startedAt + schedule.drainsAt) { false }
        isDraining = true
        eventLoops.execute(traffic.waitingCalls::refuseAll)
        callerServer.drain()
        // What a caller has not received yet is lost if it sends more to a process that has ended.
        sleepUntil(startedAt + schedule.endsAt) { callerServer.openConnections == 0 }
        eventLogger.record(
            "stopped",
            "inProgress" to callerServer.requestsInProgress,
            "connections" to callerServer.openConnections,
            "tookMs" to clock.steady() - startedAt,
        )
    }

    /** Stops at once and cuts requests in progress. */
    override fun close() {
        controlThread.close()
        peerExchange.close()
        listOfNotNull(callerServer, readinessServer, metricsServer, relayServer).forEach { it.close() }
    }

    private fun registerStoreMetrics() {
        meterRegistry.gauge("vanillalink.store.calls", ports) { it.storeCalls().toDouble() }
        meterRegistry.gauge(
            "vanillalink.registry.peer.answers",
            controlLoop.registrySource,
        ) { it.answersOfPeers.toDouble() }
        meterRegistry.gauge(
            "vanillalink.registry.peer.failures",
            controlLoop.registrySource,
        ) { it.failuresOfPeers.toDouble() }
        meterRegistry.gauge("vanillalink.registry.relay.answers", ports) { it.relay?.answered?.toDouble() ?: 0.0 }
        meterRegistry.gauge("vanillalink.registry.relay.refusals", ports) { it.relay?.refused?.toDouble() ?: 0.0 }
    }

    private fun sleepUntil(
        deadline: Long,
        isDone: () -> Boolean,
    ) {
        while (clock.steady() < deadline && !isDone()) Thread.sleep(POLL_INTERVAL_MILLISECONDS)
    }

    private fun serverLimits(): ServerLimits {
        val configuredLimits =
            traffic.state.view.catalog
                ?.configuration
                ?.limits ?: return ServerLimits(memory = ports.memory)
        return ServerLimits(
            configuredLimits.headerBytes,
            configuredLimits.bodyBytes,
            MAX_CONNECTIONS,
            Duration.ofMillis(maxOf(MIN_IDLE_MILLISECONDS, configuredLimits.idleMilliseconds)),
            ports.memory,
        )
    }

    private fun decisionInputs() = DecisionInputs(
        configurationVersion = controlLoop.configurationVersion,
        configurationAgeMilliseconds = controlLoop.configurationAge,
        budgetDaemons = traffic.state.view.budgetDaemons,
        loopDelayMilliseconds = trafficLoopDelay.recentMaxMilliseconds,
    )

    @Suppress("UnusedParameter")
    private fun writeReadiness(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = response.respond(if (controlLoop.isReady) STATUS_OK else STATUS_UNAVAILABLE)

    @Suppress("UnusedParameter")
    private fun writeMetrics(
        request: HttpRequestMessage,
        response: ResponseWriter,
    ) = response.respond(
        STATUS_OK,
        HeaderFields.of("content-type" to "text/plain; version=0.0.4"),
        meterRegistry.scrape().toByteArray(),
    )

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_UNAVAILABLE = 503
        const val MAX_CONNECTIONS = 4_000
        const val POLL_INTERVAL_MILLISECONDS = 20L

        /** Below this, connections would end between two requests of the same caller. */
        const val MIN_IDLE_MILLISECONDS = 1_000L
    }
}
