/*
 * The event loop threads for network I/O, shared by the servers and clients of a process.
 */
package org.vanillalink.transport

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Netty's event loops; with [threads] = 0 Netty chooses the number of threads. */
class NettyEventLoops(
    threads: Int = 0,
) : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())

    /** Runs [action] on one of the event loops. */
    fun execute(action: () -> Unit) = group.execute(action)

    /** Runs [action] on one of the event loops after [delay]. */
    fun schedule(
        delay: Duration,
        action: () -> Unit,
    ): ScheduledAction {
        val scheduled = group.schedule(action, delay.toMillis(), TimeUnit.MILLISECONDS)
        return ScheduledAction { scheduled.cancel(false) }
    }

    override fun close() {
        group.shutdownGracefully(0, SHUTDOWN_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val SHUTDOWN_MILLISECONDS = 1_000L
    }
}

/** An action that is scheduled and can be cancelled. */
fun interface ScheduledAction {
    /** Prevents the action from running, unless it has started. */
    fun cancel()
}
