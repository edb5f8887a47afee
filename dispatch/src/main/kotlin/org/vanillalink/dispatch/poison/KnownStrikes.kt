/*
 * Keeps the strikes that are known.
 */
package org.vanillalink.dispatch.poison

import org.vanillalink.dispatch.record.CallFingerprint
import java.time.Instant

/** This state with [strikes], and without those that are too old at [now]. */
internal fun PoisonState.withStrikes(
    strikes: Set<Strike>,
    settings: PoisonSettings,
    now: Instant,
): PoisonState {
    val oldest = now.minus(settings.strikeLifetime)
    val kept = this.strikes.mapValues { (_, losses) -> losses.filterValues { it.isAfter(oldest) } }
    return copy(strikes = strikes.fold(kept.filterValues { it.isNotEmpty() }, ::withStrike))
}

private fun withStrike(
    known: Map<CallFingerprint, Map<TargetLoss, Instant>>,
    strike: Strike,
): Map<CallFingerprint, Map<TargetLoss, Instant>> {
    val losses = known[strike.fingerprint].orEmpty()
    val at = losses[strike.loss] ?: strike.at
    return known + (strike.fingerprint to losses + (strike.loss to at))
}
