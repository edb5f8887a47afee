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
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult
import org.vanillalink.transport.DatagramPort
import org.vanillalink.transport.NettyEventLoops
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
    private val port = DatagramPort(loops, settings.peers, ::received)
    private var peers: Map<DaemonId, Endpoint> = emptyMap()
    private var sequence = 0L
    private var isRegistered = false
    private val sentBytes = metrics.summary("vanillalink.peer.bytes", "direction", "sent")
    private val receivedBytes = metrics.summary("vanillalink.peer.bytes", "direction", "received")

    fun start() {
        control.onChange = ::tell
        thread.execute(::refresh)
        thread.every(HEARTBEAT, ::tell)
    }

    fun close() = port.close()

    private fun tell() {
        if (peers.isEmpty()) return
        sequence += 1
        val message = PeerMessageCodec.write(control.message(sequence, startedAt, traffic.strikes()))
        peers.values.forEach {
            port.send(it, message)
            sentBytes.record(message.size.toDouble())
        }
    }

    private fun received(content: ByteArray) {
        receivedBytes.record(content.size.toDouble())
        // Their number grows with the fleet, so the traffic thread, which carries callers, doesn't read them.
        thread.execute { read(content) }
    }

    private fun read(content: ByteArray) = PeerMessageCodec.read(content).fold(
        { lines.record("peer-message-unreadable", "reason" to it.detail) },
        { message ->
            traffic.heard(message.daemon, message.failureDomain, message.inFlight, message.strikes)
            control.heard(message)
        },
    )

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
        /** Bounds how old the counts of peers are when a target is chosen. */
        val HEARTBEAT: Duration = Duration.ofMillis(100)
        val REFRESH: Duration = Duration.ofSeconds(4)
        val REFRESH_AT_START: Duration = Duration.ofMillis(500)
    }
}
