/*
 * Requests that a target answered whole a while ago, so that copies of them need no care.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.record.CallFingerprint

internal class RecentFingerprints {
    private val fingerprints = LinkedHashSet<CallFingerprint>()

    fun add(fingerprint: CallFingerprint) {
        fingerprints.remove(fingerprint)
        fingerprints.add(fingerprint)
        if (fingerprints.size > MAX_FINGERPRINTS) fingerprints.remove(fingerprints.first())
    }

    operator fun contains(fingerprint: CallFingerprint): Boolean = fingerprint in fingerprints

    private companion object {
        const val MAX_FINGERPRINTS = 10_000
    }
}
