/*
 * Pool of idle connections by endpoint, the most recently used first, with a maximum idle time.
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
        val idleSince: Long,
        val maxIdleNanoseconds: Long,
    ) {
        /** A connection that is closed already was counted when it was closed. */
        fun endExpired() {
            if (channel.isActive) channel.end(ConnectionEnd.IDLE_LIMIT) else channel.close()
        }
    }

    private val byEndpoint = ConcurrentHashMap<Endpoint, ConcurrentLinkedDeque<IdleConnection>>()

    fun take(endpoint: Endpoint): Channel? {
        val connections = byEndpoint[endpoint] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            val isWithinLimit = nanoTime() - connection.idleSince < connection.maxIdleNanoseconds
            if (connection.channel.isActive && isWithinLimit) return connection.channel
            connection.endExpired()
        }
    }

    fun add(
        endpoint: Endpoint,
        channel: Channel,
        keepAliveSeconds: Int? = null,
    ) {
        val connections = byEndpoint.computeIfAbsent(endpoint) { ConcurrentLinkedDeque() }
        if (connections.size >= MAX_IDLE_PER_ENDPOINT) {
            channel.end(ConnectionEnd.POOL_FULL)
            return
        }
        // The server started to count its keep-alive time earlier, so only half of it is used.
        val peerLimit = keepAliveSeconds?.let { TimeUnit.SECONDS.toNanos(it.toLong()) / 2 } ?: MAX_IDLE_NANOSECONDS
        connections.addFirst(IdleConnection(channel, nanoTime(), minOf(peerLimit, MAX_IDLE_NANOSECONDS)))
    }

    /** Closes all idle connections to [endpoint]. */
    fun close(endpoint: Endpoint) {
        val connections = byEndpoint[endpoint] ?: return
        while (true) {
            val connection = connections.pollFirst() ?: return
            connection.channel.end(ConnectionEnd.UNRESPONSIVE_SERVER)
        }
    }

    /** Closes the connections that have exceeded their idle time or are already closed. */
    fun closeExpired() {
        val now = nanoTime()
        byEndpoint.values.forEach { connections -> closeExpired(connections, now) }
    }

    private fun closeExpired(
        connections: ConcurrentLinkedDeque<IdleConnection>,
        now: Long,
    ) {
        for (connection in connections) {
            val isExpired = now - connection.idleSince >= connection.maxIdleNanoseconds || !connection.channel.isActive
            if (isExpired && connections.remove(connection)) connection.endExpired()
        }
    }

    private companion object {
        const val MAX_IDLE_PER_ENDPOINT = 64
        val MAX_IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5)
    }
}
