/*
 * Gossip items that daemons exchange, and the store that merges them.
 *
 * Each item has one subject and an ordered version, so that an older item never overwrites a newer one, whichever path
 * it arrives by. An item carries its age instead of a timestamp, because hosts' clocks may differ.
 */
package org.vanillalink.membership

import com.fasterxml.jackson.annotation.JsonSubTypes
import com.fasterxml.jackson.annotation.JsonTypeInfo
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.ServiceName
import java.time.Duration
import java.time.Instant

/** The endpoints on which a daemon accepts requests of callers ([traffic]), of other daemons and of operators. */
data class DaemonEndpoints(
    val traffic: Endpoint,
    val peers: Endpoint,
    val operators: Endpoint,
)

/** One process instance of a daemon; a restart changes [boot]. */
data class DaemonIdentity(
    val daemon: DaemonId,
    val boot: BootId,
    val failureDomain: FailureDomainId,
    val endpoints: DaemonEndpoints,
)

/** A failure domain's capacity for one service: groups that serve, requests they could start now, queued requests. */
data class ServiceAggregate(
    val servingGroups: Int,
    val freeRequests: Int,
    val queuedRequests: Int,
)

/** The content of a gossip item. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes(
    JsonSubTypes.Type(GossipPayload.Member::class, name = "member"),
    JsonSubTypes.Type(GossipPayload.Services::class, name = "services"),
    JsonSubTypes.Type(GossipPayload.Control::class, name = "control"),
    JsonSubTypes.Type(GossipPayload.Strike::class, name = "strike"),
)
sealed interface GossipPayload {
    /** Key of the item; a newer item with the same subject replaces an older one. */
    fun subject(): String

    /** A running daemon; [leaving] while it shuts down gracefully. */
    data class Member(
        val identity: DaemonIdentity,
        val leaving: Boolean = false,
    ) : GossipPayload {
        override fun subject(): String = "member/${identity.daemon}"
    }

    /** Capacity of [failureDomain], by service. */
    data class Services(
        val failureDomain: FailureDomainId,
        val services: Map<ServiceName, ServiceAggregate>,
    ) : GossipPayload {
        override fun subject(): String = "services/$failureDomain"
    }

    /** The highest fencing number of [failureDomain]'s control that any daemon has observed. */
    data class Control(
        val failureDomain: FailureDomainId,
        val fencingNumber: FencingNumber,
    ) : GossipPayload {
        override fun subject(): String = "control/$failureDomain"
    }

    /**
     * A target failure attributed to a request; [content] is opaque to membership. Removed once it is
     * [lifetimeMilliseconds] old.
     */
    data class Strike(
        val id: String,
        val content: String,
        val lifetimeMilliseconds: Long,
    ) : GossipPayload {
        override fun subject(): String = "strike/$id"
    }
}

/**
 * Orders the items of one subject by fencing number, sequence and author. [sequence] is one more than the highest that
 * its author had received.
 */
data class GossipVersion(
    val fencingNumber: FencingNumber,
    val sequence: Long,
    val author: DaemonId,
) : Comparable<GossipVersion> {
    override fun compareTo(other: GossipVersion): Int =
        compareValuesBy(this, other, { it.fencingNumber }, { it.sequence }, { it.author })
}

/** A gossip item in a message; [ageMilliseconds] is the time since its author created it. */
data class GossipItem(
    val version: GossipVersion,
    val ageMilliseconds: Long,
    val payload: GossipPayload,
)

/**
 * A stored gossip item. [createdAt] is by this daemon's clock. [changeNumber] is the store's change count when the item
 * was stored. [receivedFrom] is the peer that sent it, or null for an item of this daemon.
 */
data class GossipEntry(
    val version: GossipVersion,
    val createdAt: Instant,
    val payload: GossipPayload,
    val changeNumber: Long,
    val receivedFrom: DaemonId?,
) {
    /** Returns the item to send at [now], with its current age. */
    fun toItem(now: Instant): GossipItem = GossipItem(version, Duration.between(createdAt, now).toMillis(), payload)
}

/** All gossip items of a daemon, by subject; [changeCount] counts the items stored so far. */
data class GossipStore(
    val entries: Map<String, GossipEntry> = emptyMap(),
    val changeCount: Long = 0,
) {
    /** Stores [item] unless the same or a newer version is stored or it has expired; null if nothing changed. */
    fun merge(
        item: GossipItem,
        receivedFrom: DaemonId?,
        now: Instant,
    ): GossipStore? {
        val subject = item.payload.subject()
        val existing = entries[subject]
        if (existing != null && existing.version >= item.version) return null
        val entry =
            GossipEntry(
                item.version,
                now.minusMillis(item.ageMilliseconds),
                item.payload,
                changeCount + 1,
                receivedFrom,
            )
        if (hasExpired(entry, now)) return null
        return GossipStore(limitStrikes(entries + (subject to entry)), changeCount + 1)
    }

    /** Returns the version for the next item that [author] publishes about [subject]. */
    fun nextVersion(
        subject: String,
        author: DaemonId,
        fencingNumber: FencingNumber,
    ): GossipVersion = GossipVersion(fencingNumber, (entries[subject]?.version?.sequence ?: 0) + 1, author)

    /** Returns the store without strikes that are older than their lifetime. */
    fun withoutExpired(now: Instant): GossipStore {
        if (entries.values.none { hasExpired(it, now) }) return this
        return copy(entries = entries.filterValues { !hasExpired(it, now) })
    }

    private fun hasExpired(
        entry: GossipEntry,
        now: Instant,
    ): Boolean {
        val lifetime = (entry.payload as? GossipPayload.Strike)?.lifetimeMilliseconds ?: return false
        return entry.createdAt.plusMillis(lifetime) <= now
    }

    private fun limitStrikes(candidates: Map<String, GossipEntry>): Map<String, GossipEntry> {
        val strikes = candidates.filterValues { it.payload is GossipPayload.Strike }
        if (strikes.size <= MAX_STRIKES) return candidates
        val oldest = strikes.minWith(compareBy({ it.value.createdAt }, { it.key }))
        return candidates - oldest.key
    }

    companion object {
        /** Maximum number of stored strikes; the oldest is removed first. */
        const val MAX_STRIKES = 256
    }
}
