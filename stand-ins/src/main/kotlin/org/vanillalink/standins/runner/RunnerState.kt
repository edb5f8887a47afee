/*
 * What a runner's stand-in says of itself, and how orders change it.
 */
package org.vanillalink.standins.runner

import com.fasterxml.jackson.databind.JsonNode

/** What a runner is, for good. Times are milliseconds. */
data class RunnerSettings(
    val id: String,
    val service: String,
    val zone: String,
    val domain: String?,
    val address: String,
    val slots: Int = 6,
    val joinMilliseconds: Long = 50,
    val openMilliseconds: Long = 50,
    val tokenMilliseconds: Long = 10,
)

/** Thread safe. */
class RunnerState(
    private val settings: RunnerSettings,
    private val now: () -> Long = System::currentTimeMillis,
) {
    private class Membership(
        val group: String,
        val epoch: Long,
        val rank: Int,
        val readyAt: Long,
        var openAt: Long? = null,
    )

    private val born = now()
    private var membership: Membership? = null
    private var model: String? = null
    private var staged: String? = null
    private var sequence = 0L
    private var highestEpoch = 0L

    /** Whether the runner announces that it leaves. */
    @Volatile
    var isDraining = false

    /** Whether requests may run here: a plain runner, or the head of an open group. */
    @Synchronized
    fun takesRequests(): Boolean = settings.domain == null || state() == "open"

    /** The entry in the registry. */
    @Synchronized
    fun entry(): Map<String, Any?> = report() +
        mapOf(
            "service" to settings.service,
            "address" to settings.address,
            "zone" to settings.zone,
            "version" to "v1",
            "slots" to settings.slots,
            "state" to if (isDraining) "draining" else "ready",
            "coldLeftMs" to 0,
        )

    /** What the runner answers when it is asked. */
    @Synchronized
    fun report(): Map<String, Any?> {
        val models = listOfNotNull(model).map { mapOf("name" to it, "version" to 1, "adapters" to emptyList<String>()) }
        val said =
            mapOf("born" to born, "sequence" to sequence, "stage" to "unified", "models" to models, "pace" to 1.0)
        if (settings.domain == null) return said - "models"
        val group =
            membership?.let {
                mapOf("name" to it.group, "epoch" to it.epoch, "rank" to it.rank, "state" to state())
            }
        return said + mapOf("domain" to settings.domain, "staged" to listOfNotNull(staged), "group" to group)
    }

    /** Carries out [order] and gives the status. */
    @Synchronized
    fun order(order: JsonNode): Int {
        val epoch = order.path("epoch").asLong()
        val status =
            when (order.path("op").asText()) {
                "join" -> join(order, epoch)
                "open" -> open(order, epoch)
                "close" -> close(order, epoch)
                "leave" -> leave(order, epoch)
                "stage" -> ACCEPTED.also { staged = order.path("model").asText() }
                else -> UNKNOWN_ORDER
            }
        if (status == ACCEPTED) sequence += 1
        return status
    }

    private fun join(
        order: JsonNode,
        epoch: Long,
    ): Int {
        if (epoch < highestEpoch) return EPOCH_TOO_LOW
        if (isIn(order, epoch)) return DONE
        highestEpoch = epoch
        model = order.path("model").asText()
        staged = model
        val rank = order.path("members").indexOfFirst { it.asText() == settings.id }
        membership = Membership(order.path("group").asText(), epoch, rank, now() + settings.joinMilliseconds)
        return ACCEPTED
    }

    private fun open(
        order: JsonNode,
        epoch: Long,
    ): Int {
        val current = membership?.takeIf { isIn(order, epoch) && it.rank == 0 } ?: return DOES_NOT_FIT
        if (state() == "joining") return DOES_NOT_FIT
        if (current.openAt != null) return DONE
        current.openAt = now() + settings.openMilliseconds
        return ACCEPTED
    }

    private fun close(
        order: JsonNode,
        epoch: Long,
    ): Int {
        if (!isIn(order, epoch)) return DOES_NOT_FIT
        membership?.openAt = null
        return ACCEPTED
    }

    private fun leave(
        order: JsonNode,
        epoch: Long,
    ): Int {
        if (!isIn(order, epoch)) return DOES_NOT_FIT
        membership = null
        return ACCEPTED
    }

    private fun isIn(
        order: JsonNode,
        epoch: Long,
    ): Boolean = membership?.group == order.path("group").asText() && membership?.epoch == epoch

    private fun state(): String {
        val current = membership ?: return "none"
        val openAt = current.openAt
        return when {
            now() < current.readyAt -> "joining"
            openAt != null && now() >= openAt -> "open"
            else -> "ready"
        }
    }

    private companion object {
        const val DONE = 200
        const val ACCEPTED = 202
        const val UNKNOWN_ORDER = 400
        const val DOES_NOT_FIT = 409
        const val EPOCH_TOO_LOW = 412
    }
}
