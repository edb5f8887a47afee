/*
 * The threads that carry traffic, shared by a process's servers and clients.
 */
package org.vanillalink.transport

import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import java.time.Duration
import java.util.concurrent.TimeUnit

/** Netty's event loops; [threads] of 0 leaves the number to Netty. */
class NettyEventLoops(
    threads: Int = 0,
) : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory())

    /** Runs [action] on one of the threads. */
    fun execute(action: () -> Unit) = group.execute(action)

    /** Runs [action] on one of the threads once [delay] is over. */
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

/** Something that will run later unless it is cancelled. */
fun interface ScheduledAction {
    /** It won't run any more. */
    fun cancel()
}
