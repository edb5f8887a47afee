/*
 * Placement and the order of repairs.
 */
package org.vanillalink.groups

import org.vanillalink.model.FabricDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals

class PlacementTest {
    private val model = ServiceName("model")

    @Test
    fun `best fit makes one whole group from the remains of two`() {
        val request =
            request(listOf(lacking("a", "f0-1", "f0-2", "f0-3"), lacking("b", "f0-4", "f0-5")), free = emptyList())

        val placed = BestFit().place(request)

        assertEquals(listOf(PlacedGroup(GroupId("a"), hosts("f0-1", "f0-2", "f0-3", "f0-4"))), placed)
    }

    @Test
    fun `best fit leaves the larger fabric domain for larger groups`() {
        val free = hosts("f0-1", "f0-2", "f0-3", "f0-4", "f0-5", "f0-6", "f1-1", "f1-2", "f1-3", "f1-4")
        val request = request(listOf(lacking("a")), free)

        val placed = BestFit().place(request)

        assertEquals(hosts("f1-1", "f1-2", "f1-3", "f1-4"), placed.single().members)
    }

    @Test
    fun `first fit keeps survivors waiting for their own fabric domain`() {
        val free = hosts("f1-1", "f1-2", "f1-3", "f1-4")
        val request = request(listOf(lacking("a", "f0-1", "f0-2", "f0-3")), free)

        val placed = FirstFit().place(request)

        assertEquals(emptyList(), placed)
    }

    @Test
    fun `the service with the smallest serving part comes first, then priority, then fewest loads`() {
        val other = ServiceName("other")
        val slow = lacking("slow", "f0-1")
        val quick = lacking("quick", "f0-2", "f0-3", "f0-4")
        val urgent = lacking("urgent").copy(priority = 1)
        val worst = lacking("worst").copy(service = other)
        val standings = mapOf(model to ServiceStanding(1, 4), other to ServiceStanding(0, 4))

        val ordered = MostServiceFirst().order(listOf(slow, quick, urgent, worst), standings)

        assertEquals(listOf(worst, urgent, quick, slow), ordered)
    }

    private fun lacking(
        group: String,
        vararg survivors: String,
    ) = LackingGroup(GroupId(group), model, 4, 0, hosts(*survivors))

    private fun request(
        lacking: List<LackingGroup>,
        free: List<HostId>,
    ): PlacementRequest {
        val all = free + lacking.flatMap { it.survivors }
        val fabricDomains = all.associateWith { FabricDomainId(it.value.substringBefore('-')) }
        return PlacementRequest(lacking, free, fabricDomains, emptyMap())
    }

    private fun hosts(vararg names: String): List<HostId> = names.map { HostId(it) }
}
