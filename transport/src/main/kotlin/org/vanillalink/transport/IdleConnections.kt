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
    )

    private val byEndpoint = ConcurrentHashMap<Endpoint, ConcurrentLinkedDeque<IdleConnection>>()

    fun take(endpoint: Endpoint): Channel? {
        val connections = byEndpoint[endpoint] ?: return null
        while (true) {
            val connection = connections.pollFirst() ?: return null
            if (connection.channel.isActive) return connection.channel
        }
    }

    fun add(
        endpoint: Endpoint,
        channel: Channel,
    ) {
        val connections = byEndpoint.computeIfAbsent(endpoint) { ConcurrentLinkedDeque() }
        if (connections.size >= CONNECTIONS_PER_ENDPOINT) {
            channel.close()
            return
        }
        connections.addFirst(IdleConnection(channel, nanoTime()))
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
        val oldest = nanoTime() - IDLE_NANOSECONDS
        byEndpoint.values.forEach { connections -> sweep(connections, oldest) }
    }

    private fun sweep(
        connections: ConcurrentLinkedDeque<IdleConnection>,
        oldest: Long,
    ) {
        for (connection in connections) {
            val expired = connection.since < oldest || !connection.channel.isActive
            if (expired && connections.remove(connection)) connection.channel.close()
        }
    }

    private companion object {
        const val CONNECTIONS_PER_ENDPOINT = 64
        val IDLE_NANOSECONDS = TimeUnit.SECONDS.toNanos(5)
    }
}
