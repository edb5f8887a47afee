package org.vanillalink.serving.catalog

import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

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

    @Test
    fun `requests for a service differ in priority if its routes do, or if a workspace has its own`() {
        val routes =
            arrayOf(
                route("writer", CallKind.STREAM, goal = 400, gap = 200, priority = 0),
                route("writer", CallKind.STREAM, goal = 400, gap = 200, priority = 2),
                route("desk", CallKind.IDEMPOTENT, goal = 100, gap = 0, priority = 2),
            )

        assertTrue(catalog(*routes).hasPriorities(ServiceName("writer")))
        assertFalse(catalog(*routes).hasPriorities(ServiceName("desk")))
        val urgent = Workspace(WorkspaceId("w"), emptySet(), priority = 0)
        assertTrue(catalog(*routes, workspaces = listOf(urgent)).hasPriorities(ServiceName("desk")))
    }

    private fun catalog(
        vararg routes: Route,
        workspaces: List<Workspace> = emptyList(),
    ) = Catalog(ServingConfiguration(1, routes.toList(), emptyList(), workspaces, CallerLimits()))

    private fun route(
        service: String,
        kind: CallKind,
        goal: Long,
        gap: Long,
        priority: Int = 0,
    ) = Route(
        name = service,
        host = "desk.example",
        prefix = "/",
        kind = kind,
        services = listOf(WeightedService(ServiceName(service), 1)),
        timeoutMilliseconds = 8_000,
        latencyGoalMilliseconds = goal,
        priority = priority,
        maxAttempts = 2,
        isPublic = true,
        isResumable = true,
        maxEventGapMilliseconds = gap,
    )
}
