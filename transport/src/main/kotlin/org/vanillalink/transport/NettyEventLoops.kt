/*
 * The threads that carry traffic, shared by a process's servers and clients.
 */
package org.vanillalink.transport

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.util.concurrent.TimeUnit

/** Netty's event loops; [threads] of 0 leaves the number to Netty. */
class NettyEventLoops(
    threads: Int = 0,
) : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())

    override fun close() {
        group.shutdownGracefully(0, SHUTDOWN_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SHUTDOWN_MILLISECONDS = 1_000L
    }
}
