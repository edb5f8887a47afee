package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName
import kotlin.test.Test
import kotlin.test.assertEquals

internal class CatalogTest {
    // Guards against cutting the streams of a stalled group before the callers of its slowest route have gone.
    @Test
    fun `callers wait as long as the most patient streaming route of a service lets them`() {
        val catalog =
            catalog(
                route("writer", CallKind.STREAM, goal = 400, gap = 200),
                route("writer", CallKind.STREAM, goal = 500, gap = 300),
                route("writer", CallKind.IDEMPOTENT, goal = 5_000, gap = 0),
                route("editor", CallKind.STREAM, goal = 900, gap = 300),
            )

        assertEquals(2_400, catalog.callerPatienceMilliseconds(ServiceName("writer")))
        assertEquals(3_600, catalog.callerPatienceMilliseconds(ServiceName("editor")))
    }

    @Test
    fun `callers wait for two seconds at least`() {
        val catalog = catalog(route("writer", CallKind.STREAM, goal = 300, gap = 100))

        assertEquals(2_000, catalog.callerPatienceMilliseconds(ServiceName("writer")))
        assertEquals(2_000, catalog.callerPatienceMilliseconds(ServiceName("desk")))
    }

    private fun catalog(vararg routes: Route) =
        Catalog(ServingConfiguration(1, routes.toList(), emptyList(), emptyList(), CallerLimits()))

    private fun route(
        service: String,
        kind: CallKind,
        goal: Long,
        gap: Long,
    ) = Route(
        name = service,
        host = "desk.example",
        prefix = "/",
        kind = kind,
        services = listOf(WeightedService(ServiceName(service), 1)),
        timeoutMilliseconds = 8_000,
        latencyGoalMilliseconds = goal,
        priority = 1,
        maxAttempts = 2,
        isPublic = true,
        isResumable = true,
        maxEventGapMilliseconds = gap,
    )
}
