/*
 * Finds the other daemons through the store and tells them, several times a second, how this one is doing.
 */
package org.vanillalink.gateway.peers

import io.micrometer.core.instrument.MeterRegistry
import org.vanillalink.gateway.control.ControlLoop
import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.EntryClock
import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.gateway.ports.EntrySettings
import org.vanillalink.gateway.traffic.LiveTraffic
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
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

/** Lives on the control thread. */
internal class PeerExchange(
    private val settings: EntrySettings,
    loops: NettyEventLoops,
    private val thread: ControlThread,
    private val table: TableStore,
    private val control: ControlLoop,
    private val traffic: LiveTraffic,
    private val lines: EventLines,
    private val clock: EntryClock,
    metrics: MeterRegistry,
) {
    private val startedAt = clock.wall()
    private val key = RowKey("daemons/${settings.daemon}")
    private val port = UdpSocket(loops, settings.peers, ::received)
    private var peers: Map<DaemonId, Endpoint> = emptyMap()
    private var sequence = 0L

    private val told = HashMap<DaemonId, ToldPeer>()
    private var isRegistered = false
    private val bytes = PeerTraffic(settings.linkBytesPerSecond, metrics, lines)

    fun start() {
        control.onChange = { tell(peers.keys) }
        control.onSuspicion = ::tell
        thread.execute(::refresh)
        thread.every(CHECK, ::tellDue)
    }

    fun close() = port.close()

    private fun tellDue() {
        val now = clock.steady()
        tell(peers.keys.filter { now >= (told[it]?.dueAt ?: now) })
    }

    private fun tell(daemons: Collection<DaemonId>) {
        val now = clock.steady()
        daemons
            .filter { it in peers }
            .groupBy { Audience(isInside(it), needsGroups(it, now)) }
            .forEach { (audience, members) -> tell(members, audience) }
    }

    private fun needsGroups(
        peer: DaemonId,
        now: Long,
    ): Boolean {
        val before = told[peer] ?: return true
        return before.groupsVersion != control.groupsVersion || now - before.groupsAt >= GROUPS_AGAIN_MILLISECONDS
    }

    private fun tell(
        daemons: List<DaemonId>,
        audience: Audience,
    ) {
        sequence += 1
        val strikes = traffic.strikes()
        val message = control.message(audience.isInside, audience.withGroups, sequence, startedAt, strikes)
        val content = PeerMessageCodec.write(message)
        val now = clock.steady()
        daemons.forEach { daemon ->
            port.send(peers.getValue(daemon), content)
            bytes.sent(content.size, now)
            val groupsAt = if (audience.withGroups) now else told.getValue(daemon).groupsAt
            told[daemon] = ToldPeer(now + message.period, control.groupsVersion, groupsAt)
        }
    }

    /** One that was never heard may be anywhere, and is told the more often of both. */
    private fun isInside(peer: DaemonId): Boolean =
        (control.board.failureDomain(peer) ?: settings.failureDomain) == settings.failureDomain

    private fun received(content: ByteArray) {
        // Their number grows with the fleet, so the traffic thread, which carries callers, doesn't read them.
        thread.execute { read(content) }
    }

    private fun read(content: ByteArray) {
        bytes.received(content.size, clock.steady())
        PeerMessageCodec.read(content).fold(
            { lines.record("peer-message-unreadable", "reason" to it.detail) },
            ::heard,
        )
    }

    private fun heard(message: PeerMessage) {
        traffic.heard(message)
        if (peers[message.daemon] != message.endpoint) peers = peers + (message.daemon to message.endpoint)
        if (!control.heard(message)) return
        // A daemon that has just begun must hear of the others before it decides who should have control.
        told.remove(message.daemon)
        tell(setOf(message.daemon))
    }

    private fun refresh() {
        table.scan("daemons/").thenAccept { result ->
            thread.execute {
                result.fold(::failed) { rows -> listed(rows) }
                thread.after(if (isRegistered && peers.isNotEmpty()) REFRESH else REFRESH_AT_START, ::refresh)
            }
        }
    }

    private fun listed(rows: Map<RowKey, Row>) {
        val found =
            rows.entries
                .mapNotNull { (row, content) ->
                    Endpoint.parse(content.value)?.let { DaemonId(row.value.substringAfter('/')) to it }
                }.toMap()
        val others = found.filterKeys { it != settings.daemon }
        if (others != peers) lines.record("peers-listed", "count" to others.size)
        peers = others
        if (found[settings.daemon] == settings.peers) isRegistered = true else register(rows[key])
    }

    private fun register(row: Row?) {
        val write = ConditionalWrite(key, row?.version ?: ConditionalWrite.ABSENT, settings.peers.toString())
        table.transact(listOf(write)).thenAccept { result ->
            thread.execute { result.fold(::failed) { if (it is TransactionResult.Committed) isRegistered = true } }
        }
    }

    private fun failed(failure: StoreFailure) {
        lines.record("peers-not-read", "failure" to failure)
    }

    private companion object {
        /** Fine enough for the shortest period between heartbeats. */
        val CHECK: Duration = Duration.ofMillis(HeartbeatSchedule.MIN_PERIOD_MILLISECONDS / 2)

        /** Peers tell where they are themselves; the list is for those that have not heard of each other. */
        val REFRESH: Duration = Duration.ofSeconds(15)

        /** Bounds how long a peer that lost a datagram goes by old groups. */
        const val GROUPS_AGAIN_MILLISECONDS = 1_000L
        val REFRESH_AT_START: Duration = Duration.ofMillis(500)
    }
}
