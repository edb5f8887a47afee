package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class RouteTableTest {
    private val testSubject =
        RouteTable(listOf(route("all", "/"), route("orders", "/orders/"), route("urgent", "/orders/urgent/")))

    @Test
    fun `the longest matching prefix selects the route`() {
        assertEquals("urgent", testSubject.find("Desk.example:80", "/orders/urgent/1")?.name)
        assertEquals("orders", testSubject.find("desk.example", "/orders/1")?.name)
        assertEquals("all", testSubject.find("desk.example", "/ordersurgent")?.name)
    }

    @Test
    fun `a path without the trailing slash of a prefix does not match it`() {
        assertEquals("all", testSubject.find("desk.example", "/orders")?.name)
    }

    @Test
    fun `an unknown host has no route`() {
        assertNull(testSubject.find("other.example", "/orders/1"))
    }

    private fun route(
        name: String,
        prefix: String,
    ) = Route(
        name = name,
        host = "desk.example",
        prefix = prefix,
        kind = CallKind.IDEMPOTENT,
        services = listOf(WeightedService(ServiceName("desk"), 1)),
        timeoutMilliseconds = 800,
        latencyGoalMilliseconds = 100,
        priority = 1,
        maxAttempts = 2,
        isPublic = false,
        isResumable = false,
        maxEventGapMilliseconds = 0,
    )
}
