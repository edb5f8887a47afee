package org.vanillalink.serving.balancing

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Both bounds on many seeds: requests that crash targets are refused, and sound ones like them are not. */
internal class PoisonRequestFleetTest {
    // Guards against crashing one target after the other with requests that differ but for one part of their prompts.
    @Test
    fun `requests with a deadly part are refused at all daemons, and sound ones with its first part are not`() =
        verifyBounds(FleetSettings())

    @Test
    fun `bounds hold for a part that comes seldom`() = verifyBounds(FleetSettings(share = 0.01))

    @Test
    fun `bounds hold for a part that comes often`() = verifyBounds(FleetSettings(share = 0.3))

    @Test
    fun `bounds hold for several first parts`() = verifyBounds(FleetSettings(firstParts = 20))

    @Test
    fun `bounds hold for a part that was sound before`() = verifyBounds(FleetSettings(wereSoundBefore = true))

    @Test
    fun `bounds hold while targets crash for other reasons`() = verifyBounds(FleetSettings(hasOtherCrashes = true))

    @Test
    fun `bounds hold while targets reset connections`() = verifyBounds(FleetSettings(hasResets = true))

    @Test
    fun `bounds hold while daemons restart`() = verifyBounds(FleetSettings(hasRestarts = true))

    @Test
    fun `bounds hold while daemons are cut off from each other`() = verifyBounds(FleetSettings(hasCuts = true))

    @Test
    fun `bounds hold while reports are lost`() = verifyBounds(FleetSettings(reportLossProbability = 0.4))

    // Guards against refusing sound requests because targets were lost that ran them, for another reason.
    @Test
    fun `nothing is refused for long where targets are lost for other reasons only`() {
        val settings = FleetSettings(share = 0.0, firstParts = 5, hasOtherCrashes = true, hasResets = true)
        for (seed in 1L..seeds) {
            val fleet = SimulatedFleet(settings, seed).apply { run() }
            assertEquals(0, fleet.crashes)
            val share = fleet.refusedShareOfAll()
            assertTrue(share < MAX_REFUSED_WITHOUT_CAUSE, "seed $seed: $share of the sound requests refused")
        }
    }

    private fun verifyBounds(settings: FleetSettings) {
        for (seed in 1L..seeds) {
            val fleet = SimulatedFleet(settings, seed).apply { run() }
            val lateSends = fleet.lateDeadlySends()
            assertTrue(lateSends <= MAX_LATE_SENDS, "seed $seed: $lateSends late requests, ${fleet.crashes} crashes")
            val refused = fleet.refusedShare() ?: 0.0
            assertTrue(refused <= MAX_REFUSED_SHARE, "seed $seed: $refused of the sound requests refused")
        }
    }

    private companion object {
        /** More with `-Dfleet.seeds=500`. */
        val seeds: Long = java.lang.Long.getLong("fleet.seeds", 12L)

        /** From the users' bounds. */
        const val MAX_LATE_SENDS = 3
        const val MAX_REFUSED_SHARE = 0.5

        /** A thousandth of the requests: what may be ended without a cause. */
        const val MAX_REFUSED_WITHOUT_CAUSE = 0.001
    }
}
