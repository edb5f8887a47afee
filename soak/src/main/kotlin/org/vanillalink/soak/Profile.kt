/*
 * What a site is like: its targets, its callers and their requests.
 */
package org.vanillalink.soak

/** The targets of a model in each failure domain: [groups] groups of [size]. */
data class ModelShape(
    val name: String,
    val size: Int,
    val groups: Int,
)

/** How often callers do what; shares of one. */
data class CallMix(
    val streams: Double,
    val orders: Double,
    val failures: Double,
    val longBodies: Double,
    val chunkedBodies: Double,
)

/** How many callers of each style there are, in shares of one; the rest keeps a connection and behaves. */
data class CallerMix(
    val newConnections: Double,
    val pipelining: Double,
    val slowReading: Double,
    val slowAhead: Double,
    val slowSending: Double,
    val leaving: Double,
)

/**
 * A site. [pauseMs] is the mean pause of a caller between two requests, [slots] the requests that a group runs at once,
 * and [spares] the targets of models in each failure domain that no group needs.
 */
data class Profile(
    val name: String,
    val models: List<ModelShape>,
    val plainTargets: Int,
    val callers: Int,
    val pauseMs: Int,
    val calls: CallMix,
    val styles: CallerMix,
    val events: IntRange,
    val eventMs: IntRange,
    val slots: Int = 18,
    val spares: Int = 1,
) {
    companion object {
        /** Mostly long streams of models over several hosts, on connections that are kept. */
        val STREAMS =
            Profile(
                name = "streams",
                models = listOf(ModelShape("m4", 4, 2), ModelShape("m2", 2, 3)),
                plainTargets = 1,
                callers = 90,
                pauseMs = 350,
                calls = CallMix(0.7, 0.18, 0.15, 0.05, 0.2),
                styles = CallerMix(0.08, 0.12, 0.1, 0.1, 0.08, 0.08),
                events = 5..60,
                eventMs = 20..70,
            )

        /** Mostly short requests to a plain service. */
        val PLAIN =
            Profile(
                name = "plain",
                models = listOf(ModelShape("m2", 2, 2)),
                plainTargets = 3,
                callers = 70,
                pauseMs = 350,
                calls = CallMix(0.12, 0.5, 0.25, 0.08, 0.3),
                styles = CallerMix(0.15, 0.15, 0.1, 0.1, 0.1, 0.1),
                events = 5..27,
                eventMs = 20..50,
            )

        /** Long streams of one model, which has one group in each failure domain, with spares and hardly any room. */
        val SCARCE =
            Profile(
                name = "scarce",
                models = listOf(ModelShape("m4", 4, 1)),
                plainTargets = 1,
                callers = 60,
                pauseMs = 350,
                calls = CallMix(0.9, 0.05, 0.15, 0.05, 0.2),
                styles = CallerMix(0.08, 0.12, 0.1, 0.1, 0.08, 0.08),
                events = 40..80,
                eventMs = 40..60,
                slots = 12,
                spares = 3,
            )

        /** The profiles by name. */
        val ALL = listOf(STREAMS, PLAIN, SCARCE).associateBy { it.name }
    }
}
