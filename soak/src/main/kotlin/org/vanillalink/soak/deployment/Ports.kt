/*
 * Free ports on loopback.
 */
package org.vanillalink.soak.deployment

import org.vanillalink.model.Endpoint
import java.io.IOException
import java.net.DatagramSocket
import java.net.InetAddress
import java.net.ServerSocket

/**
 * Gives out ports that nobody listens on, below those that the system gives to connections. They come from blocks of
 * ports, each of which one run holds by listening on its first port, so that runs side by side have different ones.
 */
internal class Ports : AutoCloseable {
    private val locks = mutableListOf<ServerSocket>()
    private val free =
        (FIRST until LAST step BLOCK)
            .shuffled()
            .asSequence()
            .filter(::acquire)
            .flatMap { (it + 1 until it + BLOCK).asSequence() }
            .filter(::isFree)
            .iterator()

    fun next(): Endpoint = Endpoint(LOOPBACK, free.next())

    /** Returns the first of [count] ports in a row. */
    fun nextBlock(count: Int): Int {
        val ports = MutableList(count) { next().port }
        while (ports.last() - ports.first() != count - 1) {
            ports.removeFirst()
            ports += next().port
        }
        return ports.first()
    }

    override fun close() = locks.forEach { it.close() }

    private fun acquire(block: Int): Boolean = try {
        locks += ServerSocket(block, 1, InetAddress.getByName(LOOPBACK))
        true
    } catch (_: IOException) {
        false
    }

    private fun isFree(port: Int): Boolean = try {
        val address = InetAddress.getByName(LOOPBACK)
        ServerSocket(port, 1, address).close()
        DatagramSocket(port, address).close()
        true
    } catch (_: IOException) {
        false
    }

    private companion object {
        const val FIRST = 14_000
        const val LAST = 30_000
        const val BLOCK = 500
        const val LOOPBACK = "127.0.0.1"
    }
}
