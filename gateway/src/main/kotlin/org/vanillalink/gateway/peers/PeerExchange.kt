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
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.peers.HeartbeatSchedule
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

    private val sendStates = HashMap<DaemonId, PeerSendState>()
    private var isRegistered = false
    private val trafficMonitor = PeerTrafficMonitor(settings.linkBytesPerSecond, metrics, eventLogger)

    fun start() {
        controlLoop.onUrgentChange = { send(endpoints.keys) }
        controlLoop.onNewSuspects = ::send
        controlThread.execute(::refreshPeers)
        controlThread.scheduleRepeatedly(SEND_CHECK_INTERVAL, ::sendDue)
    }

    fun close() = socket.close()

    private fun sendDue() {
        val now = clock.steady()
        send(endpoints.keys.filter { now >= (sendStates[it]?.nextSendAt ?: now) })
    }

    private fun send(recipients: Collection<DaemonId>) {
        val now = clock.steady()
        recipients
            .filter { it in endpoints }
            .groupBy {
                MessageVariant(
                    isInSameDomain(it),
                    needsGroups(it, now),
                    needsPoisonReport(it, now),
                    needsLimits(it, now),
                )
            }.forEach { (variant, variantRecipients) -> send(variantRecipients, variant) }
    }

    private fun needsGroups(
        peer: DaemonId,
        now: Long,
    ): Boolean {
        val sent = sendStates[peer]?.groups ?: return true
        return sent.version != controlLoop.groupsVersion || now - sent.at >= DETAILS_RESEND_MILLISECONDS
    }

    private fun needsPoisonReport(
        peer: DaemonId,
        now: Long,
    ): Boolean {
        val sent = sendStates[peer]?.poison ?: return true
        val interval =
            when {
                sent.version != traffic.poisonVersion -> POISON_CHANGE_MILLISECONDS
                isInSameDomain(peer) && traffic.poisonReport().losses.isNotEmpty() -> LOSSES_RESEND_MILLISECONDS
                else -> POISON_RESEND_MILLISECONDS
            }
        return now - sent.at >= interval
    }

    private fun needsLimits(
        peer: DaemonId,
        now: Long,
    ): Boolean {
        val sent = sendStates[peer]?.limits ?: return true
        return sent.version != traffic.limitsVersion || now - sent.at >= LIMITS_RESEND_MILLISECONDS
    }

    private fun send(
        recipients: List<DaemonId>,
        variant: MessageVariant,
    ) {
        sequence += 1
        val now = clock.steady()
        val sentGroups = SentDetails(controlLoop.groupsVersion, now)
        val sentPoison = SentDetails(traffic.poisonVersion, now)
        val sentLimits = SentDetails(traffic.limitsVersion, now)
        val poison = if (variant.includesPoison) traffic.poisonReport() else PoisonReport()
        val message =
            controlLoop.buildPeerMessage(
                variant.isSameDomain,
                variant.includesGroups,
                sequence,
                startedAt,
                poison,
                variant.includesLimits,
            )
        val content = PeerMessageCodec.encode(message)
        recipients.forEach { daemon ->
            socket.send(endpoints.getValue(daemon), content)
            trafficMonitor.recordSent(content.size, now)
            val previous = sendStates[daemon]
            sendStates[daemon] =
                PeerSendState(
                    now + message.period,
                    if (variant.includesGroups || previous == null) sentGroups else previous.groups,
                    if (variant.includesPoison || previous == null) sentPoison else previous.poison,
                    if (variant.includesLimits || previous == null) sentLimits else previous.limits,
                )
        }
    }

    /** A peer without a received message may be anywhere; it counts as local, which has the shorter period. */
    private fun isInSameDomain(peer: DaemonId): Boolean =
        (controlLoop.peerDirectory.failureDomain(peer) ?: settings.failureDomain) == settings.failureDomain

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
        if (!controlLoop.onPeerMessage(message)) return
        // A daemon that has just started needs the state of the others before it decides which one should have control.
        sendStates.remove(message.daemon)
        send(setOf(message.daemon))
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

        /** Limits how long a peer uses outdated groups and evidence after a lost datagram. */
        const val DETAILS_RESEND_MILLISECONDS = 1_000L

        /** With each lost target there are many changes within some milliseconds. */
        const val POISON_CHANGE_MILLISECONDS = 150L

        const val LOSSES_RESEND_MILLISECONDS = 2_000L

        /** Blocks change rarely, and losses reach other domains from each daemon that has heard of them. */
        const val POISON_RESEND_MILLISECONDS = 5_000L

        /** Limits how long a peer doesn't know a limit, or its end, after a lost datagram. */
        const val LIMITS_RESEND_MILLISECONDS = 3_000L
        val STARTUP_REFRESH_INTERVAL: Duration = Duration.ofMillis(500)
    }
}
