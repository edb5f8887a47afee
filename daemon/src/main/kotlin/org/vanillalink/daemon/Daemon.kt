/*
 * One daemon: joins decisions, traffic, operators and the platform, and ends them in order.
 */
package org.vanillalink.daemon

import ch.qos.logback.classic.LoggerContext
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.slf4j.LoggerFactory
import org.vanillalink.control.DaemonControl
import org.vanillalink.control.DaemonDecision
import org.vanillalink.control.DaemonEvent
import org.vanillalink.daemon.control.AdmissionExecutor
import org.vanillalink.daemon.control.CallExecutor
import org.vanillalink.daemon.control.CallObserver
import org.vanillalink.daemon.control.ConfigurationExecutor
import org.vanillalink.daemon.control.ControlLoop
import org.vanillalink.daemon.control.ControlThread
import org.vanillalink.daemon.control.DispatchExecutor
import org.vanillalink.daemon.control.DomainExecutor
import org.vanillalink.daemon.control.EndpointDirectory
import org.vanillalink.daemon.control.StreamWatch
import org.vanillalink.daemon.control.TargetPolling
import org.vanillalink.daemon.metrics.CallMetrics
import org.vanillalink.daemon.metrics.MeteredTableStore
import org.vanillalink.daemon.metrics.ProcessMetrics
import org.vanillalink.daemon.metrics.StateMetrics
import org.vanillalink.daemon.operators.DrainPage
import org.vanillalink.daemon.operators.OperatorsHandler
import org.vanillalink.daemon.operators.OperatorsPages
import org.vanillalink.daemon.peers.PeerClient
import org.vanillalink.daemon.peers.PeerExecutor
import org.vanillalink.daemon.peers.PeerHandler
import org.vanillalink.daemon.peers.PeerProtocol
import org.vanillalink.daemon.peers.PeerRecordOwners
import org.vanillalink.daemon.peers.PermitExecutor
import org.vanillalink.daemon.peers.StrikeExecutor
import org.vanillalink.daemon.settings.DaemonSettings
import org.vanillalink.daemon.settings.SettingsCheck
import org.vanillalink.daemon.timeline.EventLog
import org.vanillalink.daemon.traffic.ActiveCalls
import org.vanillalink.daemon.traffic.CallerHandler
import org.vanillalink.daemon.traffic.CallerRules
import org.vanillalink.daemon.traffic.ForwardTarget
import org.vanillalink.daemon.traffic.WorkspaceDirectory
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.store.http.HttpHostList
import org.vanillalink.store.http.HttpObjectStore
import org.vanillalink.store.http.HttpTableStore
import org.vanillalink.store.http.PlatformSettings
import org.vanillalink.targets.HttpTargetClient
import org.vanillalink.transport.HttpServer
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.NettyHttpClient
import org.vanillalink.transport.NettyHttpServer
import org.vanillalink.transport.ServerLimits
import java.time.Clock
import java.time.Duration
import java.util.UUID
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.system.exitProcess

/** A daemon with [settings]. */
class Daemon(
    private val settings: DaemonSettings,
    private val clock: Clock = Clock.systemUTC(),
) {
    private val identity =
        DaemonIdentity(
            settings.daemon,
            BootId(UUID.randomUUID().toString()),
            settings.failureDomain,
            DaemonEndpoints(settings.listen, settings.peersListen, settings.operatorsListen),
        )
    private val loops = NettyEventLoops(settings.trafficThreads)
    private val client = NettyHttpClient(loops)
    private val platform = PlatformSettings(settings.platform)
    private val targets = HttpTargetClient(client, REPORT_TIMEOUT)
    private val log = EventLog(settings.daemon, clock)
    private val metrics = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val table = MeteredTableStore(HttpTableStore(client, platform), metrics)
    private val callMetrics = CallMetrics(metrics)
    private val stateMetrics = StateMetrics(metrics) { table.reachable }
    private val thread = ControlThread()
    private val control = DaemonControl(identity, settings.seeds, clock.instant())
    private val loop = ControlLoop(thread, control, clock)
    private val configuration = ConfigurationExecutor(loop, thread, table)
    private val polling = TargetPolling(loop, targets, HttpHostList(client, platform), settings.failureDomain, clock)
    private val observer = CallObserver(log, callMetrics, clock)
    private val activeCalls = ActiveCalls()
    private val streams = StreamWatch(loop, activeCalls, targets, client, log) { control.targetEndpoint(it) }
    private val peerClient = PeerClient(client, settings.secret, PEER_TIMEOUT)
    private val peers = PeerExecutor(loop, thread, peerClient) { control.peerEndpoint(it) }
    private val permits =
        PermitExecutor(loop, thread, peerClient, control::peerEndpoint) { permit ->
            permit in control.poisonState.heldPermits || permit in control.poisonState.requestedPermits.values
        }
    private val strikes =
        StrikeExecutor(loop, peerClient) {
            control.membershipState.peers.values
                .map { it.identity.endpoints.peers }
        }
    private val calls =
        CallExecutor(loop, thread, targets, activeCalls, observer, callMetrics, clock, ::forwardTargetOf)
    private val objects = HttpObjectStore(client, platform)
    private val owners = PeerRecordOwners(peerClient) { control.peerEndpoint(it) }
    private val dispatch = DispatchExecutor(loop, table, objects, owners, activeCalls, observer)
    private val callers = CallerHandler(client, calls, clock)
    private val loopbackOnly = SettingsCheck.isLoopback(settings.listen)

    /** Serves until the process is told to end, then finishes what is in progress. Gives the exit code. */
    fun runUntilStopped(): Int {
        addExecutors()
        val traffic = NettyHttpServer(loops, settings.listen, ServerLimits(), callers)
        val operators = NettyHttpServer(loops, settings.operatorsListen, ServerLimits(), operatorsHandler())
        val peerHandler = PeerHandler(settings.secret, loop, peers, permits, strikes, callers.forwarded, clock)
        val peerServer = NettyHttpServer(loops, settings.peersListen, ServerLimits(), peerHandler)
        ProcessMetrics.register(metrics, thread) { inProgress(listOf(traffic, peerServer)) }
        val ended = CountDownLatch(1)
        Runtime.getRuntime().addShutdownHook(Thread { shutDown(listOf(traffic, peerServer), operators, ended) })
        log.record(
            "daemon-started",
            "boot" to identity.boot,
            "failure-domain" to identity.failureDomain,
            "listen" to traffic.endpoint,
            "operators" to operators.endpoint,
            "loopback-only" to (settings.secret == null),
        )
        subscribeToTime()
        ended.await()
        return 0
    }

    private fun addExecutors() {
        loop.add(DomainExecutor(loop, table, targets) { host -> control.targetEndpoint(host) })
        val endpoints = EndpointDirectory(control::peerEndpoint, control::targetEndpoint)
        loop.add(AdmissionExecutor(loop, table, targets, peerClient, endpoints))
        loop.add(configuration)
        loop.add(polling)
        loop.add(calls)
        loop.add(dispatch)
        loop.add(peers)
        loop.add(permits)
        loop.add(strikes)
        loop.add(streams)
        loop.add { decision ->
            when (decision) {
                is DaemonDecision.Record -> log.record(decision.name, decision.fields)
                is DaemonDecision.ConfigurationChanged -> useConfiguration(decision)
                else -> Unit
            }
        }
    }

    private fun forwardTargetOf(daemon: DaemonId): ForwardTarget? = control.peerEndpoint(daemon)?.let {
        ForwardTarget(it, PeerProtocol.FORWARD_PREFIX, peerClient.credentials)
    }

    private fun useConfiguration(decision: DaemonDecision.ConfigurationChanged) {
        val directory = WorkspaceDirectory(decision.document, loopbackOnly)
        callers.rules = CallerRules(decision.document, directory)
    }

    private fun subscribeToTime() {
        thread.every(TICK) {
            streams.look()
            loop.handle(DaemonEvent.Tick)
        }
        thread.every(HOSTS_INTERVAL, polling::readHosts)
        thread.every(METRICS_INTERVAL) { stateMetrics.refresh(control, clock.instant()) }
        thread.every(PERMITS_INTERVAL, permits::giveBackAgain)
    }

    private fun operatorsHandler(): OperatorsHandler {
        val pages =
            OperatorsPages(
                settings = settings,
                loop = loop,
                editor = configuration,
                table = table,
                isReachable = { table.reachable },
                isDraining = { callers.draining },
                clock = clock,
            )
        val own =
            mapOf(
                "/metrics" to OperatorsHandler.metrics(metrics),
                "/events" to OperatorsHandler.events(log),
                "/drain" to DrainPage(settings.daemon.value, settings.drainTimeout, ::endProcess),
            )
        return OperatorsHandler(settings.secret, pages.byPath + own)
    }

    /** Has the JVM run its shutdown hooks, as SIGTERM does; [exitProcess] returns only at their end. */
    private fun endProcess() {
        Thread({ exitProcess(0) }, "end").start()
    }

    /** Runs on the JVM's shutdown thread: the process ends when it returns. */
    private fun shutDown(
        serving: List<HttpServer>,
        operators: HttpServer,
        ended: CountDownLatch,
    ) {
        log.record("daemon-draining", "requests" to inProgress(serving))
        callers.draining = true
        loop.tell(DaemonEvent.DrainingStarted)
        serving.first().drain()
        val deadline = clock.instant().plus(settings.drainTimeout)
        while (inProgress(serving) > 0 && clock.instant() < deadline) {
            pause(DRAIN_POLL_MILLISECONDS)
        }
        loop.tell(DaemonEvent.ShuttingDown)
        pause(GIVE_UP_CONTROL_MILLISECONDS)
        log.record("daemon-ended", "requests-cut" to inProgress(serving))
        operators.close()
        thread.close()
        loops.close()
        // The log is written by a thread of its own; what is queued must not be lost.
        (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
        ended.countDown()
    }

    private fun inProgress(serving: List<HttpServer>): Int = serving.sumOf { it.requestsInProgress }

    /** Waits on the shutdown thread only. */
    private fun pause(milliseconds: Long) {
        CountDownLatch(1).await(milliseconds, TimeUnit.MILLISECONDS)
    }

    private companion object {
        val PEER_TIMEOUT: Duration = Duration.ofSeconds(1)
        val TICK: Duration = Duration.ofMillis(100)
        val METRICS_INTERVAL: Duration = Duration.ofSeconds(1)
        val HOSTS_INTERVAL: Duration = Duration.ofSeconds(1)
        val PERMITS_INTERVAL: Duration = Duration.ofSeconds(1)
        val REPORT_TIMEOUT: Duration = Duration.ofSeconds(1)
        const val DRAIN_POLL_MILLISECONDS = 50L
        const val GIVE_UP_CONTROL_MILLISECONDS = 200L
    }
}
