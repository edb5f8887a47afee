/*
 * The prompt prefixes that a target has cached, according to its cache events. Events arrive late and with gaps. After
 * a gap, the target may have dropped any older prefix unseen, so older entries count half and are soon removed. For a
 * target that sends no events, the prefixes of requests that it recently answered are assumed to be cached.
 */
package org.vanillalink.routing

import org.vanillalink.model.BootId
import java.time.Duration
import java.time.Instant

/** The cached prefixes of one [boot] of a target. */
internal class CachedPrefixes(
    private val boot: BootId,
) {
    private val learnedAt = LinkedHashMap<Long, Instant>()
    private var lastSequence: Long? = null
    private var gapAt: Instant? = null

    fun apply(
        event: RouterEvent.CacheEventsReceived,
        now: Instant,
    ) {
        if (event.boot != boot) return
        val last = lastSequence
        if (last != null && event.sequence <= last) return
        if (last != null && event.sequence > last + 1) gapAt = now
        lastSequence = event.sequence
        event.removed.forEach { learnedAt.remove(it) }
        event.added.forEach { learn(it, now) }
    }

    /** Records that the target answered a request with [fingerprints]; ignored if the target sends cache events. */
    fun learnFromAnswer(
        fingerprints: List<Long>,
        now: Instant,
    ) {
        if (lastSequence == null) fingerprints.forEach { learn(it, now) }
    }

    private fun learn(
        fingerprint: Long,
        now: Instant,
    ) {
        learnedAt.remove(fingerprint)
        learnedAt[fingerprint] = now
        if (learnedAt.size > MAX_PREFIXES) learnedAt.remove(learnedAt.keys.first())
    }

    /** Returns the fraction (0.0 to 1.0) of [fingerprints] that is cached contiguously from the first one on. */
    fun matchedFraction(fingerprints: List<Long>): Double {
        if (learnedAt.isEmpty() || fingerprints.isEmpty()) return 0.0
        var matched = 0.0
        for (fingerprint in fingerprints) matched += weight(learnedAt[fingerprint] ?: break)
        return matched / fingerprints.size
    }

    /** Removes expired answered prefixes, and entries from before a gap that is at least [gapRetention] old. */
    fun removeExpired(
        now: Instant,
        gapRetention: Duration,
    ) {
        if (lastSequence == null) removeLearnedBefore(now.minus(ANSWERED_PREFIX_RETENTION))
        val gap = gapAt ?: return
        if (Duration.between(gap, now) < gapRetention) return
        learnedAt.values.removeIf { it < gap }
        gapAt = null
    }

    /** Entries are in order of time, so the loop ends at the first one that is retained. */
    private fun removeLearnedBefore(cutoff: Instant) {
        val entries = learnedAt.values.iterator()
        while (entries.hasNext() && entries.next() < cutoff) entries.remove()
    }

    private fun weight(learned: Instant): Double = if (gapAt?.let { learned < it } == true) WEIGHT_AFTER_GAP else 1.0

    private companion object {
        const val MAX_PREFIXES = 4096
        const val WEIGHT_AFTER_GAP = 0.5
        val ANSWERED_PREFIX_RETENTION: Duration = Duration.ofMinutes(5)
    }
}
