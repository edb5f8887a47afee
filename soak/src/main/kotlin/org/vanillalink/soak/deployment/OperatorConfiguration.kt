/*
 * The operator's configuration and its changes.
 */
package org.vanillalink.soak.deployment

import org.vanillalink.soak.Profile
import kotlin.random.Random

/** A route that callers use. */
internal data class SoakRoute(
    val name: String,
    val kind: String,
    val service: String,
    val timeoutMs: Long,
    val isPublic: Boolean,
) {
    val prefix: String get() = "/$name/"
}

/** Configurations for [profile], one after the other; each allows all that the callers send. Not thread-safe. */
internal class OperatorConfiguration(
    private val profile: Profile,
    private val random: Random,
) {
    private var version = 1
    private val timeouts = ROUTES.associate { it.name to it.timeoutMs }.toMutableMap()
    private val shares = profile.models.associate { it.name to 1.0 / profile.models.size }.toMutableMap()
    private var idleTimeoutMs = IDLE_TIMEOUTS.first()
    private val added = ArrayList<SoakRoute>()

    /** Routes that changes have added, in their order. */
    val addedRoutes: List<SoakRoute> get() = added
    private var addedWorkspaces = 0

    /** Changes one thing and returns what. */
    fun change(): String {
        version += 1 + random.nextInt(MOST_STEPS)
        return CHANGES.random(random)(this)
    }

    private fun changeIdleTimeout(): String {
        idleTimeoutMs = IDLE_TIMEOUTS.random(random)
        return "idle timeout $idleTimeoutMs"
    }

    private fun changeShares(): String {
        val drawn = shares.mapValues { 1.0 + random.nextDouble() }
        shares.putAll(drawn.mapValues { it.value / drawn.values.sum() })
        return "shares $shares"
    }

    /** Never shorter than at first, so that the callers' bounds hold. */
    private fun changeTimeout(): String {
        val route = ROUTES.random(random)
        timeouts[route.name] = route.timeoutMs + TIMEOUT_STEP_MS * random.nextInt(MOST_STEPS)
        return "timeout of ${route.name} ${timeouts[route.name]}"
    }

    private fun addRoute(): String {
        added += SoakRoute("added-${added.size}", "idempotent", DESK, LOOKUPS.timeoutMs, false)
        return "route ${added.size} added"
    }

    fun json(): ByteArray {
        val workspaces =
            listOf(workspace("gritworks", KEY)) + List(addedWorkspaces) { workspace("added-$it", "added-key-$it") }
        val plain = """{"name":"$DESK","healthPath":"/health","maxConns":$MOST_CONNECTIONS}"""
        return """{"version":$version,"routes":[${(ROUTES + added).joinToString(transform = ::route)}],
            "services":[${modelService()},$plain],
            "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerTimeoutMs":5000,"idleTimeoutMs":$idleTimeoutMs},
            "tenants":[${workspaces.joinToString()}]}""".toByteArray()
    }

    private fun workspace(
        name: String,
        key: String,
    ) = """{"name":"$name","apiKeys":["$key"]}"""

    private fun route(route: SoakRoute): String {
        val timeoutMs = timeouts[route.name] ?: route.timeoutMs
        val streaming =
            """"resumable":true,"sticky":true,"gapTargetMs":300,"""
                .takeIf { route.kind == STREAMING }
                .orEmpty()
        return """{"name":"${route.name}","host":"$HOST","prefix":"${route.prefix}","kind":"${route.kind}",
            "timeoutMs":$timeoutMs,"goalMs":500,"priority":1,"public":${route.isPublic},$streaming
            "service":"${route.service}","attempts":2}"""
    }

    private fun modelService(): String {
        val models =
            profile.models.joinToString {
                """{"name":"${it.name}","size":${it.size},"share":${shares[it.name]},
                    "pace":1.0,"loadS":0.5,"warmS":0.1}"""
            }
        return """{"name":"$WRITER","healthPath":"/health","maxConns":$MOST_CONNECTIONS,
            "engine":{"slots":${profile.slots},"formMs":50,"loadsPerS":4,"loads_at_once":4,"cachedPrefixes":1,"step_ms":6.07,
            "per_seq_ms":0.241,"read_per_s":46000,"stride":5,"models":[$models]}}"""
    }

    companion object {
        const val HOST = "grit.example"
        const val KEY = "soak-key"
        const val WRITER = "brief-writer"
        const val DESK = "dispatch-desk"
        const val STREAMING = "streaming"
        private val CHANGES: List<OperatorConfiguration.() -> String> =
            listOf(
                OperatorConfiguration::changeShares,
                OperatorConfiguration::changeTimeout,
                OperatorConfiguration::changeIdleTimeout,
                OperatorConfiguration::addRoute,
                { "workspace ${++addedWorkspaces} added" },
            )
        private const val MOST_STEPS = 3
        private const val MOST_CONNECTIONS = 384
        private const val TIMEOUT_STEP_MS = 1_000L
        private val IDLE_TIMEOUTS = listOf(15_000, 6_000, 30_000)

        val STREAMS = SoakRoute("drafts", STREAMING, WRITER, 8_000, false)
        val ORDERS = SoakRoute("orders", "non_idempotent", DESK, 1_500, true)
        val KEYED_ORDERS = SoakRoute("keyed-orders", "non_idempotent", DESK, 1_500, false)
        val LOOKUPS = SoakRoute("lookups", "idempotent", DESK, 1_500, true)
        val ROUTES = listOf(STREAMS, ORDERS, KEYED_ORDERS, LOOKUPS)
    }
}
