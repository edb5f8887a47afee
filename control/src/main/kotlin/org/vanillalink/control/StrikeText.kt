/*
 * Strikes as the gossip between daemons carries them.
 */
package org.vanillalink.control

import org.vanillalink.dispatch.poison.Strike
import org.vanillalink.dispatch.poison.TargetInstance
import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.membership.GossipPayload
import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import java.time.Duration
import java.time.Instant

internal object StrikeText {
    private const val SEPARATOR = '\n'
    private const val FIELD_COUNT = 4
    private val LIFETIME = Duration.ofHours(24)

    fun of(strike: Strike): GossipPayload.Strike {
        val idFields = listOf(strike.fingerprint.value, strike.loss.host.value, strike.loss.boot.value)
        val content = idFields + strike.at.toEpochMilli().toString()
        return GossipPayload.Strike(
            id = idFields.joinToString("/"),
            content = content.joinToString(SEPARATOR.toString()),
            lifetimeMilliseconds = LIFETIME.toMillis(),
        )
    }

    /** The strike in [payload], or null where a peer told something else. */
    fun parse(payload: GossipPayload.Strike): Strike? {
        val fields = payload.content.split(SEPARATOR).takeIf { it.size == FIELD_COUNT } ?: return null
        val (fingerprint, host, boot) = fields
        val milliseconds = fields.last().toLongOrNull() ?: return null
        val loss = TargetInstance(HostId(host), BootId(boot))
        return Strike(CallFingerprint(fingerprint), loss, Instant.ofEpochMilli(milliseconds))
    }
}
