/*
 * Requests that a target answered whole a while ago, so that copies of them need no care.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.record.CallFingerprint

internal class RecentFingerprints {
    private val kept = LinkedHashSet<CallFingerprint>()

    fun add(fingerprint: CallFingerprint) {
        kept.remove(fingerprint)
        kept.add(fingerprint)
        if (kept.size > MOST_KEPT) kept.remove(kept.first())
    }

    operator fun contains(fingerprint: CallFingerprint): Boolean = fingerprint in kept

    private companion object {
        const val MOST_KEPT = 10_000
    }
}
