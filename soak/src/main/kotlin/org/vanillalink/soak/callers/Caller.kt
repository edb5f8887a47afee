/*
 * A caller, which uses a connection until it has ended.
 */
package org.vanillalink.soak.callers

import org.vanillalink.soak.Profile
import org.vanillalink.soak.deployment.Rotation
import org.vanillalink.soak.deployment.SoakRoute
import org.vanillalink.soak.record.CallEnd
import org.vanillalink.soak.record.Recorder
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.math.ln
import kotlin.random.Random

/** What a caller does other than the usual. */
enum class CallerStyle { KEPT, NEW_CONNECTIONS, PIPELINING, SLOW_READER, SLOW_AHEAD, SLOW_SENDER, LEAVING }

/** What all callers share. */
internal class CallerSettings(
    val profile: Profile,
    val rotation: Rotation,
    val recorder: Recorder,
    val failureDomains: List<String>,
    /** Routes that were added long enough ago for all daemons to have them. */
    val addedRoutes: () -> List<SoakRoute>,
    val isOver: () -> Boolean,
) {
    val connections = AtomicInteger()
}

/** Sends requests until the run is over. */
internal class Caller(
    private val index: Int,
    private val style: CallerStyle,
    private val settings: CallerSettings,
    private val random: Random,
) {
    private val maker = CallMaker("c$index", settings.profile, style, random, settings.addedRoutes)
    private val isHasty = random.nextInt(HASTY_SHARE) == 0

    fun run() {
        pause()
        while (!settings.isOver()) {
            val connection = connect()
            if (connection == null) {
                Thread.sleep(RECONNECT_MS)
            } else {
                connection.use(::use)
            }
        }
    }

    private fun connect(): CallerConnection? {
        val domain = settings.failureDomains[index % settings.failureDomains.size]
        val daemon = settings.rotation.choose(domain, random)
        return try {
            CallerConnection(daemon, settings.connections.incrementAndGet(), style, settings.recorder)
        } catch (_: IOException) {
            null
        }
    }

    private fun use(connection: CallerConnection) {
        do {
            if (!connection.isUsable()) return
            val count = if (style in AHEAD) 1 + random.nextInt(MOST_AHEAD) else 1
            val requests = List(count) { maker.next() }
            val leavesAfterMs =
                if (style == CallerStyle.LEAVING && random.nextBoolean()) random.nextLong(LONGEST_STAY_MS) else null
            val aheadMs = if (style == CallerStyle.SLOW_AHEAD) random.nextLong(LONGEST_AHEAD_MS) else 0
            val calls = connection.call(requests, leavesAfterMs, aheadMs)
            calls.forEach(settings.recorder::add)
            val last = calls.last()
            val isOpen = last.end == CallEnd.WHOLE && last.head?.isLast == false && style != CallerStyle.NEW_CONNECTIONS
            pause()
        } while (isOpen && !settings.isOver())
    }

    private fun pause() {
        val meanMs = if (isHasty) settings.profile.pauseMs / HASTE else settings.profile.pauseMs
        Thread.sleep((-ln(1 - random.nextDouble()) * meanMs).toLong())
    }

    private companion object {
        const val HASTY_SHARE = 4
        const val HASTE = 10
        const val RECONNECT_MS = 100L
        const val MOST_AHEAD = 3
        const val LONGEST_AHEAD_MS = 200L
        val AHEAD = setOf(CallerStyle.PIPELINING, CallerStyle.SLOW_AHEAD)
        const val LONGEST_STAY_MS = 600L
    }
}
