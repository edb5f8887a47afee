/*
 * Changes of the configuration every few seconds, beside all other faults and planned work.
 */
package org.vanillalink.soak.faults

import org.vanillalink.soak.deployment.SoakDeployment
import org.vanillalink.soak.record.FaultKind
import org.vanillalink.soak.record.InjectedFault
import org.vanillalink.soak.record.Recorder
import kotlin.random.Random

/** Plays one series of changes after the other, chosen by [random]. */
internal class ConfigurationChanges(
    private val deployment: SoakDeployment,
    private val recorder: Recorder,
    private val random: Random,
) {
    /** Changes the configuration once or several times; returns the pause until the next series. */
    fun playNext(): Long {
        recorder.add(InjectedFault(FaultKind.CONFIGURATION, recorder.now(), "store", null))
        repeat(1 + random.nextInt(MOST_CHANGES)) {
            deployment.changeConfiguration()
            Thread.sleep(random.nextLong(MOST_BETWEEN_MS))
        }
        return random.nextLong(SHORTEST_PAUSE_MS, LONGEST_PAUSE_MS)
    }

    private companion object {
        const val MOST_CHANGES = 3
        const val MOST_BETWEEN_MS = 600L
        const val SHORTEST_PAUSE_MS = 1_000L
        const val LONGEST_PAUSE_MS = 4_000L
    }
}
