/*
 * Pieces of knowledge that daemons pass on to each other.
 *
 * Each piece has one subject and an ordered version, so that an older one never overwrites a newer one, by whatever way
 * it arrives. Its age travels with it, not a time by another host's clock.
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

/** Where a daemon takes callers' requests, messages of peers and operators' requests. */
data class DaemonEndpoints(
    val traffic: Endpoint,
    val peers: Endpoint,
    val operators: Endpoint,
)

/** One run of a daemon. */
data class DaemonIdentity(
    val daemon: DaemonId,
    val boot: BootId,
    val failureDomain: FailureDomainId,
    val endpoints: DaemonEndpoints,
)

/** What a failure domain offers for one service: whole groups, requests that they could take now, and queued ones. */
data class ServiceAggregate(
    val servingGroups: Int,
    val freeRequests: Int,
    val queuedRequests: Int,
)

/** The content of a piece. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
@JsonSubTypes(
    JsonSubTypes.Type(GossipPayload.Member::class, name = "member"),
    JsonSubTypes.Type(GossipPayload.Services::class, name = "services"),
    JsonSubTypes.Type(GossipPayload.Control::class, name = "control"),
    JsonSubTypes.Type(GossipPayload.Strike::class, name = "strike"),
)
sealed interface GossipPayload {
    /** What the piece is about; a newer piece about the same subject replaces an older one. */
    fun subject(): String

    /** A daemon that runs, or is [leaving] by a graceful shutdown. */
    data class Member(
        val identity: DaemonIdentity,
        val leaving: Boolean = false,
    ) : GossipPayload {
        override fun subject(): String = "member/${identity.daemon}"
    }

    /** What [failureDomain] offers, by service. */
    data class Services(
        val failureDomain: FailureDomainId,
        val services: Map<ServiceName, ServiceAggregate>,
    ) : GossipPayload {
        override fun subject(): String = "services/$failureDomain"
    }

    /** The highest fencing number of [failureDomain]'s control that anybody has seen. */
    data class Control(
        val failureDomain: FailureDomainId,
        val fencingNumber: FencingNumber,
    ) : GossipPayload {
        override fun subject(): String = "control/$failureDomain"
    }

    /** Something about a request that fails targets; [content] is opaque here. Forgotten [lifetimeMilliseconds] old. */
    data class Strike(
        val id: String,
        val content: String,
        val lifetimeMilliseconds: Long,
    ) : GossipPayload {
        override fun subject(): String = "strike/$id"
    }
}

/** Orders the pieces of one subject; [sequence] is one more than the highest that its author had seen. */
data class GossipVersion(
    val fencingNumber: FencingNumber,
    val sequence: Long,
    val author: DaemonId,
) : Comparable<GossipVersion> {
    override fun compareTo(other: GossipVersion): Int =
        compareValuesBy(this, other, { it.fencingNumber }, { it.sequence }, { it.author })
}

/** A piece as it travels, [ageMilliseconds] after its author made it. */
data class GossipItem(
    val version: GossipVersion,
    val ageMilliseconds: Long,
    val payload: GossipPayload,
)

/**
 * A piece as a daemon keeps it. [changeNumber] is the count of local changes at which it came, [receivedFrom] who
 * brought it.
 */
data class GossipEntry(
    val version: GossipVersion,
    val createdAt: Instant,
    val payload: GossipPayload,
    val changeNumber: Long,
    val receivedFrom: DaemonId?,
) {
    /** The piece to send at [now]. */
    fun toItem(now: Instant): GossipItem = GossipItem(version, Duration.between(createdAt, now).toMillis(), payload)
}

/** All pieces that a daemon has, by subject; [changeCount] counts what was taken. */
data class GossipStore(
    val entries: Map<String, GossipEntry> = emptyMap(),
    val changeCount: Long = 0,
) {
    /** Takes [item] unless a newer or the same one is here, or it has expired; null where nothing changed. */
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

    /** The version that the next own piece about [subject] has. */
    fun nextVersion(
        subject: String,
        author: DaemonId,
        fencingNumber: FencingNumber,
    ): GossipVersion = GossipVersion(fencingNumber, (entries[subject]?.version?.sequence ?: 0) + 1, author)

    /** Without strikes that are older than their lifetime. */
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
        /** Strikes kept at once; the oldest goes first. */
        const val MAX_STRIKES = 256
    }
}
