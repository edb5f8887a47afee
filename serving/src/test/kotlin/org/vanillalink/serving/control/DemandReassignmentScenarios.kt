package org.vanillalink.serving.control

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Guards against refusals all day where groups of another model stand idle (ogw-binlink-now-grown). */
internal class DemandReassignmentScenarios {
    private val fleet = FakeFleet(mapOf("d0" to 37, "d1" to 37), sizes = mapOf("large" to 16, "small" to 4))
    private val slots = fleet.engine.slots.toDouble()

    @Test
    fun `lasting demand for the small model moves one large group, drained and within the limit of loads`() {
        start()
        demand(small = 0.8, large = 0.2)
        val before = count("small")
        val untilClosed = fleet.runUntil(120_000) { fleet.notes.any { "members-reassigned" in it } }
        fleet.runners.values.forEach { it.busyUntil = fleet.now + 8_000 }

        val elapsed = untilClosed + fleet.runUntil(120_000) { count("small") >= before + 4 }
        assertTrue(elapsed < MOVE_MILLISECONDS, "took $elapsed ms")
        fleet.run(60_000)
        assertEquals(1, count("large"))
        assertEquals(1, started())
        val domain =
            fleet.state.demandReassignment.givenUp
                .single()
                .fabricDomain
        val reloaded = fleet.runners.values.filter { it.fabricDomain == domain && it.staged == "large" }
        assertEquals(emptyList(), reloaded)
        assertEquals(emptyList(), fleet.violations)
        assertEquals(emptyList(), fleet.cuts)
        assertLoadsWithinLimit(fleet)
    }

    @Test
    fun `demand that swings by half within 15 s moves nothing`() {
        start()
        repeat(12) {
            demand(small = if (it % 2 == 0) 0.9 else 0.45, large = 0.15)
            fleet.run(15_000)
        }
        assertEquals(0, started())
    }

    @Test
    fun `demand that comes back moves members back only once it lasts, and never the last group`() {
        start()
        demand(small = 0.8, large = 0.15)
        fleet.run(90_000)
        assertEquals(1, count("large"))
        demand(small = 0.9, large = 0.0)
        fleet.run(90_000)
        assertEquals(1, count("large"))

        demand(small = 0.15, large = 0.9)
        fleet.run(15_000)
        assertEquals(1, started())
        val elapsed = fleet.runUntil(120_000) { count("large") == 2 }
        assertTrue(elapsed < MOVE_MILLISECONDS, "took $elapsed ms")
        fleet.run(60_000)
        assertEquals(2, started())
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun `nothing is moved in a fabric domain while its groups are lost and repaired`() {
        start()
        demand(small = 0.8, large = 0.15)
        val lossesUntil = fleet.now + 60_000
        while (fleet.now < lossesUntil) {
            listOf("d0", "d1").forEach { domain ->
                val group =
                    fleet.serving().firstOrNull {
                        it.model == "small" && fleet.runners.getValue(it.members.first()).fabricDomain == domain
                    }
                group?.let { fleet.crash(it.members.last()) }
                group?.let { fleet.process(GroupEvent.GroupSuspected(it.key, fleet.view())) }
                fleet.add("new-$domain-${fleet.now}", domain)
            }
            fleet.run(3_000)
            val closing = fleet.notes.filter { "members-reassigned" in it }
            assertEquals(emptyList(), closing)
        }
        assertTrue(fleet.runUntil(120_000) { count("large") == 1 } < 120_000)
        assertEquals(emptyList(), fleet.violations)
    }

    private fun start() {
        fleet.failureDomainCount = 3
        fleet.settle()
        demand(small = 0.5, large = 0.5)
        fleet.run(30_000)
        assertEquals(0, started())
    }

    /** Sets the demand as a fraction of the slots of each model's groups. */
    private fun demand(
        small: Double,
        large: Double,
    ) {
        fleet.demand =
            mapOf("small" to small * slots * count("small"), "large" to large * slots * count("large"))
    }

    private fun count(model: String): Int = fleet.serving().count { it.model == model }

    private fun started(): Int = fleet.notes.count { "reassignment-started" in it }

    private companion object {
        /** Demand lasts 20 s, sixteen loads begin in 12 s and take 12 to 16 s, requests in flight 8 s, joining 2 s. */
        const val MOVE_MILLISECONDS = 65_000L
    }
}
