package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class LimitSharingTest {
    private val target = HostId("i-1")

    @Test
    fun `daemons share a limit in proportion to their callers' demand`() {
        val shares = shares(limit = 6.0, demands = listOf(30.0, 20.0, 10.0))

        assertEquals(6.0, shares.sumOf { it.requestsPerSecond }, 1e-6)
        assertTrue(shares[0].requestsPerSecond > shares[1].requestsPerSecond)
        assertTrue(shares[1].requestsPerSecond > shares[2].requestsPerSecond)
    }

    @Test
    fun `a daemon without callers keeps a small part for the first ones`() {
        val shares = shares(limit = 6.0, demands = listOf(30.0, 0.0))

        assertTrue(shares[1].requestsPerSecond in 0.01..0.3, "$shares")
    }

    @Test
    fun `daemons share equally before any demand is known`() {
        assertEquals(listOf(2.0, 2.0, 2.0), shares(6.0, listOf(0.0, 0.0, 0.0)).map { it.requestsPerSecond })
    }

    // Guards against hundreds of daemons that each send one request at the same moment to a target that takes few.
    @Test
    fun `in a large fleet, few daemons have a part, and all agree on which`() {
        for (limit in listOf(0.0, 0.3, 4.7, 40.0, 400.0)) {
            val shares = shares(limit, demands = List(450) { 1.0 })
            val burst = shares.sumOf { it.burst }

            assertTrue(shares.sumOf { it.requestsPerSecond } <= maxOf(limit, 0.25) + 1e-6)
            assertTrue(burst <= 2 * limit + 5, "limit $limit: $burst at once")
            assertEquals(minOf(450, (maxOf(limit, 0.25) + 3).toInt()), shares.count { it.burst > 0 })
        }
    }

    @Test
    fun `the daemons with a part differ between targets`() {
        val demand = demandOf(List(60) { 1.0 })
        val held = (1..200).count { LimitSharing().share(HostId("i-$it"), 4.0, "m", demand(DaemonId("e-7"))).burst > 0 }

        assertTrue(held in 10..45, "$held of 200")
    }

    private fun shares(
        limit: Double,
        demands: List<Double>,
    ): List<LimitShare> {
        val demand = demandOf(demands)
        return demands.indices.map { LimitSharing().share(target, limit, "m", demand(DaemonId("e-$it"))) }
    }

    private fun demandOf(demands: List<Double>): (DaemonId) -> DaemonDemand = { daemon ->
        object : DaemonDemand {
            override val own = daemon
            override val daemons = demands.indices.map { DaemonId("e-$it") }.toSet()

            override fun demandFor(capacity: String) = demands.withIndex().associate {
                DaemonId("e-${it.index}") to
                    it.value
            }
        }
    }
}
