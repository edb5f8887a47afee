/*
 * State of the fake runner, as reported, and its changes by orders.
 */
package org.vanillalink.standins.runner

import com.fasterxml.jackson.databind.JsonNode

/** Immutable properties of a runner. */
data class RunnerSettings(
    val id: String,
    val service: String,
    val zone: String,
    val fabricDomain: String?,
    val address: String,
    val slots: Int = 6,
    val joinMilliseconds: Long = 50,
    val openMilliseconds: Long = 50,
    val tokenMilliseconds: Long = 10,
    val stallMilliseconds: Long = 5_000,
)

/** Whether a head serves; without one of its members it stands still, and then breaks. */
enum class HeadCondition { SERVING, STANDING_STILL, BROKEN }

/** State of one runner; thread-safe. */
class RunnerState(
    private val settings: RunnerSettings,
    private val now: () -> Long = System::currentTimeMillis,
    private val memberships: GroupMemberships = GroupMemberships(now),
    private val onGroupChanged: (GroupChange) -> Unit = {},
) {
    private class Membership(
        val group: GroupIdentity,
        val rank: Int,
        val readyAtMs: Long,
        var openAtMs: Long? = null,
        var isClosing: Boolean = false,
    )

    private var startMs = now()
    private var membership: Membership? = null
    private var model: String? = null
    private var staged: String? = null
    private var sequence = 0L
    private var highestEpoch = 0L
    private var runningStreams = 0

    /** How many requests wait for the group to move on. */
    @Volatile
    var queuedRequests = 0

    /** Whether the entry announces that the runner is leaving. */
    @Volatile
    var isDraining = false

    /** Starts a new instance on the same host: it is in no group and has accepted no orders. */
    @Synchronized
    fun restart() {
        startMs = maxOf(now(), startMs + 1)
        end()
        model = null
        sequence = 0
        highestEpoch = 0
    }

    /** Ends the membership with the process. */
    @Synchronized
    fun end() {
        reportChange(GroupChangeKind.ENDED)
        replaceMembership(null)
    }

    /** Records how many streams are under way; returns whether the group has closed by that. */
    @Synchronized
    fun recordStreams(count: Int): Boolean {
        val wasClosing = groupState() == "closing"
        runningStreams = count
        membership?.let { memberships.recordStreams(it.group, count) }
        val hasClosed = wasClosing && groupState() == "ready"
        if (hasClosed) reportChange(GroupChangeKind.CLOSED)
        return hasClosed
    }

    /** Whether requests go to the head of a group. */
    val isGrouped: Boolean get() = settings.fabricDomain != null

    /** Returns the open group whose head this runner is, or null. */
    @Synchronized
    fun openGroup(): GroupIdentity? = membership?.group?.takeIf { groupState() == "open" }

    /** Returns the condition of this runner as the head of a group. */
    @Synchronized
    fun headCondition(): HeadCondition = when {
        groupState() == "broken" -> HeadCondition.BROKEN
        stallsFromMs() != null -> HeadCondition.STANDING_STILL
        else -> HeadCondition.SERVING
    }

    /** Returns since when the head of a group that has been opened waits for a member, or null. */
    private fun stallsFromMs(): Long? {
        val ownMembership = membership?.takeIf { it.rank == 0 } ?: return null
        val incompleteSinceMs = memberships.incompleteSince(ownMembership.group) ?: return null
        val openAtMs = ownMembership.openAtMs
        return when {
            openAtMs != null -> maxOf(openAtMs, incompleteSinceMs).takeIf { now() >= it }
            ownMembership.isClosing && runningStreams > 0 -> incompleteSinceMs
            else -> null
        }
    }

    /** Returns the registry entry. */
    @Synchronized
    fun entry(): Map<String, Any?> = listedReport() +
        mapOf(
            "service" to settings.service,
            "address" to settings.address,
            "zone" to settings.zone,
            "version" to "v1",
            "slots" to settings.slots,
            "state" to if (isDraining) "draining" else "ready",
            "coldLeftMs" to 0,
        )

    /** Returns the response to a report request. */
    @Synchronized
    fun report(): Map<String, Any?> = listedReport() + mapOf("queued" to queuedRequests, "running" to runningStreams)

    private fun listedReport(): Map<String, Any?> {
        val models = listOfNotNull(model).map { mapOf("name" to it, "version" to 1, "adapters" to emptyList<String>()) }
        val common =
            mapOf("born" to startMs, "sequence" to sequence, "stage" to "unified", "models" to models, "pace" to 1.0)
        if (settings.fabricDomain == null) return common - "models"
        val group =
            membership?.let {
                mapOf("name" to it.group.name, "epoch" to it.group.epoch, "rank" to it.rank, "state" to groupState())
            }
        return common + mapOf("domain" to settings.fabricDomain, "staged" to listOfNotNull(staged), "group" to group)
    }

    /** Applies [order] and returns the HTTP status. */
    @Synchronized
    fun applyOrder(order: JsonNode): Int {
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
        if (epoch < highestEpoch) return STALE_EPOCH
        val members = order.path("members").map { it.asText() }
        if (isMemberOf(order, epoch)) return if (membership?.group?.members == members) ALREADY_DONE else STALE_EPOCH
        highestEpoch = epoch
        val joinedModel = order.path("model").asText()
        model = joinedModel
        staged = joinedModel
        val group = GroupIdentity(order.path("group").asText(), epoch, joinedModel, members)
        replaceMembership(Membership(group, members.indexOf(settings.id), now() + settings.joinMilliseconds))
        reportChange(GroupChangeKind.JOINED, settings.joinMilliseconds)
        return ACCEPTED
    }

    private fun open(
        order: JsonNode,
        epoch: Long,
    ): Int {
        val ownMembership = membership?.takeIf { isMemberOf(order, epoch) && it.rank == 0 } ?: return CONFLICT
        if (groupState() == "joining") return CONFLICT
        if (ownMembership.openAtMs != null) return ALREADY_DONE
        ownMembership.isClosing = false
        ownMembership.openAtMs = now() + settings.openMilliseconds
        reportChange(GroupChangeKind.OPENED, settings.openMilliseconds)
        return ACCEPTED
    }

    private fun close(
        order: JsonNode,
        epoch: Long,
    ): Int {
        val ownMembership = membership?.takeIf { isMemberOf(order, epoch) } ?: return CONFLICT
        ownMembership.openAtMs = null
        ownMembership.isClosing = true
        reportChange(GroupChangeKind.CLOSING)
        if (runningStreams == 0) reportChange(GroupChangeKind.CLOSED)
        return ACCEPTED
    }

    private fun leave(
        order: JsonNode,
        epoch: Long,
    ): Int {
        if (!isMemberOf(order, epoch)) return ALREADY_DONE
        reportChange(GroupChangeKind.LEFT)
        replaceMembership(null)
        return ACCEPTED
    }

    private fun replaceMembership(next: Membership?) {
        membership = next
        memberships.update(settings.id, next?.group)
    }

    private fun isMemberOf(
        order: JsonNode,
        epoch: Long,
    ): Boolean = membership?.group?.name == order.path("group").asText() && membership?.group?.epoch == epoch

    private fun reportChange(
        kind: GroupChangeKind,
        afterMilliseconds: Long = 0,
    ) {
        membership?.let { onGroupChanged(GroupChange(kind, it.group, afterMilliseconds)) }
    }

    private fun groupState(): String {
        val ownMembership = membership ?: return "none"
        val openAtMs = ownMembership.openAtMs
        val stallsFromMs = stallsFromMs()
        return when {
            now() < ownMembership.readyAtMs -> "joining"
            stallsFromMs != null && now() >= stallsFromMs + settings.stallMilliseconds -> "broken"
            openAtMs != null && now() >= openAtMs -> "open"
            ownMembership.isClosing && runningStreams > 0 -> "closing"
            else -> "ready"
        }
    }

    private companion object {
        const val ALREADY_DONE = 200
        const val ACCEPTED = 202
        const val UNKNOWN_ORDER = 400
        const val CONFLICT = 409
        const val STALE_EPOCH = 412
    }
}
