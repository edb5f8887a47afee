/*
 * Discovers the other daemons through the store and sends them this daemon's status several times per second.
 */
package org.vanillalink.gateway.peers

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.control.ControlLoop
import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.GatewayClock
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.GatewaySettings
import org.vanillalink.gateway.traffic.TrafficMonitor
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.peers.HeartbeatPath
import org.vanillalink.serving.peers.HeartbeatSchedule
import org.vanillalink.serving.peers.OwnStatus
import org.vanillalink.serving.peers.PeerMessage
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult
import org.vanillalink.transport.NettyEventLoops
import org.vanillalink.transport.UdpSocket
import java.time.Duration

/** Confined to the control thread. */
internal class PeerExchange(
    private val settings: GatewaySettings,
    eventLoops: NettyEventLoops,
    private val controlThread: ControlThread,
    private val table: TableStore,
    private val controlLoop: ControlLoop,
    private val traffic: TrafficMonitor,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
    metrics: MeterRegistry,
) {
    private val startedAt = clock.wall()
    private val key = RowKey("daemons/${settings.daemon}")
    private val socket = UdpSocket(eventLoops, settings.peerEndpoint, ::onDatagram)
    private var endpoints: Map<DaemonId, Endpoint> = emptyMap()
    private var sequence = 0L

    private val sendStates = PeerSendStates({ controlLoop.groupsVersion }, traffic)
    private val startedPeers = HashSet<DaemonId>()
    private var unheardDomains: Set<FailureDomainId> = emptySet()
    private var isRegistered = false
    private val trafficMonitor = PeerTrafficMonitor(settings.linkBytesPerSecond, metrics, eventLogger)

    fun start() {
        controlLoop.onUrgentChange = ::sendUrgent
        controlLoop.onNewSuspects = ::sendSuspects
        controlThread.execute(::refreshPeers)
        controlThread.scheduleRepeatedly(SEND_CHECK_INTERVAL, ::sendDue)
    }

    fun close() = socket.close()

    private fun sendDue() {
        val now = clock.steady()
        val status = controlLoop.ownStatus
        val routes = status.routes(traffic.suspects())
        logUnheard(routes.unheardDomains)
        send(duePaths(routes.paths(endpoints.keys), status, now), status, routes.unheardDomains)
    }

    private fun sendUrgent() {
        val status = controlLoop.ownStatus
        val routes = status.routes(traffic.suspects())
        send(routes.paths(endpoints.keys, isUrgent = true), status, routes.unheardDomains)
    }

    private fun sendSuspects(controllers: Set<DaemonId>) {
        val status = controlLoop.ownStatus
        val routes = status.routes(traffic.suspects())
        val paths = routes.paths(controllers)
        val direct = controllers.filter { it in endpoints }.associateWith { paths[it] ?: HeartbeatPath.ACROSS_DOMAINS }
        send(direct, status, routes.unheardDomains)
    }

    /** The [paths] on which messages are due, and those to daemons that have just started. */
    private fun duePaths(
        paths: Map<DaemonId, HeartbeatPath>,
        status: OwnStatus,
        now: Long,
    ): Map<DaemonId, HeartbeatPath> {
        val periods = HeartbeatPath.entries.associateWith { status.period(it) }
        val due = paths.filter { (peer, path) -> sendStates.isDue(peer, periods.getValue(path), now) }
        val greeted = if (status.isSpeaker) startedPeers.filter { it in endpoints && it !in paths } else emptyList()
        startedPeers.clear()
        return due + greeted.associateWith { HeartbeatPath.ACROSS_DOMAINS }
    }

    private fun logUnheard(domains: Set<FailureDomainId>) {
        if (domains == unheardDomains) return
        unheardDomains = domains
        eventLogger.record("peer-domains-unheard", "failureDomains" to domains.joinToString(","))
    }

    private fun send(
        paths: Map<DaemonId, HeartbeatPath>,
        status: OwnStatus,
        unheard: Set<FailureDomainId>,
    ) {
        val now = clock.steady()
        paths.keys.groupBy { sendStates.variant(it, paths.getValue(it), now) }.forEach { (variant, recipients) ->
            send(recipients, variant, status, unheard)
        }
    }

    private fun send(
        recipients: List<DaemonId>,
        variant: MessageVariant,
        status: OwnStatus,
        unheard: Set<FailureDomainId>,
    ) {
        sequence += 1
        val now = clock.steady()
        val parts =
            PeerMessageParts(
                sequence,
                startedAt,
                if (variant.includesPoison) traffic.poisonReport() else PoisonReport(),
                variant.includesGroups,
                variant.includesLimits,
                variant.includesMembers,
                unheard,
            )
        sendContent(PeerMessageCodec.encode(controlLoop.buildPeerMessage(status, variant.path, parts)), recipients)
        recipients.forEach { sendStates.recordSent(it, variant, now) }
    }

    private fun sendContent(
        content: ByteArray,
        recipients: Collection<DaemonId>,
    ) {
        val now = clock.steady()
        val receivers = recipients.mapNotNull { endpoints[it] }
        socket.send(receivers, content)
        repeat(receivers.size) { trafficMonitor.recordSent(content.size, now) }
    }

    private fun onDatagram(content: ByteArray) {
        // The message rate grows with the fleet, so messages are decoded here and not on the traffic thread.
        controlThread.execute { onMessageContent(content) }
    }

    private fun onMessageContent(content: ByteArray) {
        trafficMonitor.recordReceived(content.size, clock.steady())
        PeerMessageCodec.decode(content).fold(
            { eventLogger.record("peer-message-unreadable", "reason" to it.detail) },
            ::onMessage,
        )
    }

    private fun onMessage(message: PeerMessage) {
        traffic.onPeerMessage(message)
        if (endpoints[message.daemon] != message.endpoint) endpoints = endpoints + (message.daemon to message.endpoint)
        val isNews = controlLoop.peerDirectory.isNews(message)
        val isNew = controlLoop.onPeerMessage(message)
        if (message.relayedBy != null) return
        if (message.isForDomain && isNews) relay(message)
        if (isNew) {
            // It needs the state of the others before it decides which one should have control.
            sendStates.remove(message.daemon)
            startedPeers += message.daemon
            traffic.onPeerStarted()
        }
    }

    /** Passes [message] on to the daemons in this failure domain. */
    private fun relay(message: PeerMessage) {
        if (message.failureDomain == settings.failureDomain) return
        val directory = controlLoop.peerDirectory
        val recipients = endpoints.keys.filter { directory.failureDomain(it) == settings.failureDomain }
        sendContent(PeerMessageCodec.encode(message.copy(relayedBy = settings.daemon)), recipients)
    }

    /** Registers this daemon again if the store has lost its row. */
    fun onStoreRestored() {
        isRegistered = false
        readPeers { }
    }

    private fun refreshPeers() {
        readPeers {
            controlThread.scheduleOnce(
                refreshInterval(),
                ::refreshPeers,
            )
        }
    }

    private fun refreshInterval(): Duration = when {
        !isRegistered || endpoints.isEmpty() -> STARTUP_REFRESH_INTERVAL
        controlLoop.registrySource.followsPeer -> RELAYED_REFRESH_INTERVAL
        else -> REFRESH_INTERVAL
    }

    private fun readPeers(onRead: () -> Unit) {
        table.scan("daemons/").thenAccept { result ->
            controlThread.execute {
                result.fold(::onStoreFailure) { rows -> updatePeers(rows) }
                onRead()
            }
        }
    }

    private fun updatePeers(rows: Map<RowKey, Row>) {
        val registered =
            rows.entries
                .mapNotNull { (rowKey, content) ->
                    Endpoint.parse(content.value)?.let { DaemonId(rowKey.value.substringAfter('/')) to it }
                }.toMap()
        // The store may have lost the rows of daemons whose messages still arrive.
        val heard = controlLoop.peerDirectory.alivePeers(clock.steady()).map { it.message }
        val others = registered.filterKeys { it != settings.daemon } + heard.associate { it.daemon to it.endpoint }
        if (others != endpoints) eventLogger.record("peers-listed", "count" to others.size)
        endpoints = others
        if (registered[settings.daemon] == settings.peerEndpoint) isRegistered = true else register(rows[key])
    }

    private fun register(row: Row?) {
        val write = ConditionalWrite(key, row?.version ?: ConditionalWrite.ABSENT, settings.peerEndpoint.toString())
        table.transact(listOf(write)).thenAccept { result ->
            controlThread.execute {
                result.fold(::onStoreFailure) { if (it is TransactionResult.Committed) isRegistered = true }
            }
        }
    }

    private fun onStoreFailure(failure: StoreFailure) {
        eventLogger.record("peers-not-read", "failure" to failure)
    }

    private companion object {
        /** How often the list of peers is read where other daemons of the failure domain read it more often. */
        val RELAYED_REFRESH_INTERVAL: Duration = Duration.ofSeconds(60)

        /** Half of the shortest heartbeat period, so that each heartbeat is sent about when it is due. */
        val SEND_CHECK_INTERVAL: Duration = Duration.ofMillis(HeartbeatSchedule.MIN_PERIOD_MILLISECONDS / 2)

        /** Peers send their own endpoints; the list in the store is for peers without a received message. */
        val REFRESH_INTERVAL: Duration = Duration.ofSeconds(15)

        val STARTUP_REFRESH_INTERVAL: Duration = Duration.ofMillis(500)
    }
}
