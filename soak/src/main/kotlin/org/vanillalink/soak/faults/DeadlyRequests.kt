/*
 * A request that crashes the targets that run it and comes again and again, beside everything else.
 */
package org.vanillalink.soak.faults

import org.vanillalink.soak.callers.CallMaker
import org.vanillalink.soak.callers.CallerConnection
import org.vanillalink.soak.callers.CallerStyle
import org.vanillalink.soak.deployment.Rotation
import org.vanillalink.soak.deployment.SoakDeployment
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recorder
import org.vanillalink.soak.targets.SoakTarget
import java.io.IOException
import java.util.concurrent.ExecutorService
import kotlin.random.Random

/** Sends the request by [maker] to any daemon in rotation, at times that [random] chooses. */
internal class DeadlyRequests(
    deployment: SoakDeployment,
    private val rotation: Rotation,
    private val recorder: Recorder,
    private val maker: CallMaker,
    private val random: Random,
    private val executor: ExecutorService,
) {
    private var connections = FIRST_CONNECTION

    init {
        deployment.targets.forEach { target -> target.onCrashedByRequest = { crash(target) } }
    }

    /** Sends the request once; returns the pause until the next time. */
    fun playNext(): Long {
        val daemon = rotation.choose(SoakDeployment.DOMAINS.random(random), random)
        recorder.add(InjectedFault(FaultKind.DEADLY_REQUEST, recorder.now(), daemon.name, null))
        try {
            connections += 1
            CallerConnection(daemon, connections, CallerStyle.NEW_CONNECTIONS, recorder).use { connection ->
                connection.call(listOf(maker.deadly()), leavesAfterMs = null, aheadMs = 0).forEach(recorder::add)
            }
        } catch (_: IOException) {
            return SHORTEST_PAUSE_MS
        }
        return if (random.nextBoolean()) {
            random.nextLong(SHORTEST_PAUSE_MS, SHORT_PAUSE_MS)
        } else {
            random.nextLong(LONG_PAUSE_MS, LONGEST_PAUSE_MS)
        }
    }

    /** The request has begun to run. */
    private fun crash(target: SoakTarget) = executor.execute {
        target.crash()
        Thread.sleep(DOWN_MS)
        target.start()
    }

    private companion object {
        /** Callers' connections have lower numbers. */
        const val FIRST_CONNECTION = 1_000_000
        const val SHORTEST_PAUSE_MS = 1_500L
        const val SHORT_PAUSE_MS = 4_000L

        /** Longer than daemons report to each other that a target was lost. */
        const val LONG_PAUSE_MS = 12_000L
        const val LONGEST_PAUSE_MS = 18_000L
        const val DOWN_MS = 2_500L
    }
}
