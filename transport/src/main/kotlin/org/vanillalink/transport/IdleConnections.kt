/*
 * Connections that wait for their next request, newest first, for a bounded time.
 */
package org.vanillalink.transport

import io.netty.channel.Channel
import org.vanillalink.model.Endpoint
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit

internal class IdleConnections(
    private val nanoTime: () -> Long = System::nanoTime,
) {
    private class IdleConnection(
        val channel: Channel,
        val since: Long,
        val keptNanoseconds: Long,
    )

    private val byEndpoint = ConcurrentHashMap<Endpoint, ConcurrentLinkedDeque<IdleConnection>>()

    fun take(endpoint: Endpoint): Channel? {
        val connections = byEndpoint[endpoint] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            val isKept = nanoTime() - connection.since < connection.keptNanoseconds
            if (connection.channel.isActive && isKept) return connection.channel
            connection.channel.close()
        }
    }

    fun add(
        endpoint: Endpoint,
        channel: Channel,
        keepAliveSeconds: Int? = null,
    ) {
        val connections = byEndpoint.computeIfAbsent(endpoint) { ConcurrentLinkedDeque() }
        if (connections.size >= CONNECTIONS_PER_ENDPOINT) {
            channel.close()
            return
        }
        // The other side counts from an earlier moment than this one, so only a part of its time is used.
        val told = keepAliveSeconds?.let { TimeUnit.SECONDS.toNanos(it.toLong()) / 2 } ?: IDLE_NANOSECONDS
        connections.addFirst(IdleConnection(channel, nanoTime(), minOf(told, IDLE_NANOSECONDS)))
    }

    /** Closes all that wait for [endpoint]. */
    fun close(endpoint: Endpoint) {
        val connections = byEndpoint[endpoint] ?: return
        while (true) {
            val connection = connections.pollFirst() ?: return
            connection.channel.close()
        }
    }

    /** Closes what has waited too long. */
    fun sweep() {
        val now = nanoTime()
        byEndpoint.values.forEach { connections -> sweep(connections, now) }
    }

    private fun sweep(
        connections: ConcurrentLinkedDeque<IdleConnection>,
        now: Long,
    ) {
        for (connection in connections) {
            val expired = now - connection.since >= connection.keptNanoseconds || !connection.channel.isActive
            if (expired && connections.remove(connection)) connection.channel.close()
        }
    }

    private companion object {
        const val CONNECTIONS_PER_ENDPOINT = 64
        val IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5)
    }
}
