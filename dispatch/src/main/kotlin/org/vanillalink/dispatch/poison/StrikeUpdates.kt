/*
 * Adds strikes to the state and removes expired ones.
 */
package org.vanillalink.dispatch.poison

import org.vanillalink.dispatch.record.CallFingerprint
import java.time.Instant

/** Adds [strikes] and removes those that have expired at [now]. The first time known for a strike is kept. */
internal fun PoisonState.withStrikes(
    strikes: Set<Strike>,
    settings: PoisonSettings,
    now: Instant,
): PoisonState {
    val expiry = now.minus(settings.strikeLifetime)
    val unexpired = this.strikes.mapValues { (_, losses) -> losses.filterValues { it.isAfter(expiry) } }
    return copy(strikes = strikes.fold(unexpired.filterValues { it.isNotEmpty() }, ::withStrike))
}

private fun withStrike(
    strikes: Map<CallFingerprint, Map<TargetInstance, Instant>>,
    strike: Strike,
): Map<CallFingerprint, Map<TargetInstance, Instant>> {
    val losses = strikes[strike.fingerprint].orEmpty()
    val at = losses[strike.loss] ?: strike.at
    return strikes + (strike.fingerprint to losses + (strike.loss to at))
}
