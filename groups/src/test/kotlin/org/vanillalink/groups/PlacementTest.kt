/*
 * Placement policies and repair orders.
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
    fun `best fit forms one complete group from the survivors of two`() {
        val request =
            request(
                listOf(incomplete("a", "f0-1", "f0-2", "f0-3"), incomplete("b", "f0-4", "f0-5")),
                free = emptyList(),
            )

        val placed = BestFit().place(request)

        assertEquals(listOf(PlacedGroup(GroupId("a"), hosts("f0-1", "f0-2", "f0-3", "f0-4"))), placed)
    }

    @Test
    fun `best fit leaves the larger fabric domain for larger groups`() {
        val free = hosts("f0-1", "f0-2", "f0-3", "f0-4", "f0-5", "f0-6", "f1-1", "f1-2", "f1-3", "f1-4")
        val request = request(listOf(incomplete("a")), free)

        val placed = BestFit().place(request)

        assertEquals(hosts("f1-1", "f1-2", "f1-3", "f1-4"), placed.single().members)
    }

    @Test
    fun `first fit waits for a free host in the fabric domain of the survivors`() {
        val free = hosts("f1-1", "f1-2", "f1-3", "f1-4")
        val request = request(listOf(incomplete("a", "f0-1", "f0-2", "f0-3")), free)

        val placed = FirstFit().place(request)

        assertEquals(emptyList(), placed)
    }

    @Test
    fun `repairs are ordered by serving fraction, then priority, then fewest loads`() {
        val other = ServiceName("other")
        val slow = incomplete("slow", "f0-1")
        val quick = incomplete("quick", "f0-2", "f0-3", "f0-4")
        val urgent = incomplete("urgent").copy(priority = 1)
        val worst = incomplete("worst").copy(service = other)
        val availability = mapOf(model to ServiceAvailability(1, 4), other to ServiceAvailability(0, 4))

        val ordered = LeastAvailableServiceFirst().order(listOf(slow, quick, urgent, worst), availability)

        assertEquals(listOf(worst, urgent, quick, slow), ordered)
    }

    private fun incomplete(
        group: String,
        vararg survivors: String,
    ) = IncompleteGroup(GroupId(group), model, 4, 0, hosts(*survivors))

    private fun request(
        incomplete: List<IncompleteGroup>,
        free: List<HostId>,
    ): PlacementRequest {
        val all = free + incomplete.flatMap { it.survivors }
        val fabricDomains = all.associateWith { FabricDomainId(it.value.substringBefore('-')) }
        return PlacementRequest(incomplete, free, fabricDomains, emptyMap())
    }

    private fun hosts(vararg names: String): List<HostId> = names.map { HostId(it) }
}
