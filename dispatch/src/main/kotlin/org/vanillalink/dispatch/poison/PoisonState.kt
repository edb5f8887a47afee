/*
 * What one daemon knows of requests that may crash their targets.
 */
package org.vanillalink.dispatch.poison

import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.model.AttemptId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.RequestId
import java.security.MessageDigest
import java.time.Duration
import java.time.Instant
import java.util.HexFormat

private val DEFAULT_STRIKE_LIFETIME = Duration.ofHours(24)
private val DEFAULT_PERMIT_REPORTING_DELAY = Duration.ofSeconds(10)

/**
 * Settings of poison requests. Within [permitReportingDelay] of a grant its holder's messages may not list the permit
 * yet; a permit whose holder is never heard again is void after [strikeLifetime].
 */
data class PoisonSettings(
    val strikeLifetime: Duration = DEFAULT_STRIKE_LIFETIME,
    val permitReportingDelay: Duration = DEFAULT_PERMIT_REPORTING_DELAY,
)

/** An attempt of this daemon that runs. */
data class RunningAttempt(
    val fingerprint: CallFingerprint,
    val target: TargetInstance,
)

/**
 * All that this daemon knows. [grantedPermits] are the permits that it gave as their owner or heard of from their
 * holders; [heldPermits] are its own, and [requestedPermits] the ones that it asked for.
 */
data class PoisonState(
    val daemon: DaemonId,
    val activeDaemons: Set<DaemonId> = setOf(daemon),
    val strikes: Map<CallFingerprint, Map<TargetInstance, Instant>> = emptyMap(),
    val runningAttempts: Map<AttemptId, RunningAttempt> = emptyMap(),
    val grantedPermits: Map<Permit, Instant> = emptyMap(),
    val heldPermits: Set<Permit> = emptySet(),
    val requestedPermits: Map<RequestId, Permit> = emptyMap(),
) {
    /** The daemon that gives permits: one for the failure domain, so that a target never gets two suspects. */
    val permitOwner: DaemonId get() = activeDaemons.maxBy { computeRendezvousWeight(it) }

    /** What heartbeats tell peers of strikes; [heldPermits] goes with it. */
    fun collectStrikes(): Set<Strike> = strikes
        .flatMap { (fingerprint, losses) -> losses.map { (loss, at) -> Strike(fingerprint, loss, at) } }
        .toSet()

    /** How many targets were lost with [fingerprint] running, as far as known at [now]. */
    fun countStrikes(
        fingerprint: CallFingerprint,
        settings: PoisonSettings,
        now: Instant,
    ): Int = strikes[fingerprint].orEmpty().count { it.value.plus(settings.strikeLifetime).isAfter(now) }

    private fun computeRendezvousWeight(candidate: DaemonId): String {
        val digest = MessageDigest.getInstance("SHA-256").digest("permits:$candidate".toByteArray())
        return HexFormat.of().formatHex(digest)
    }
}
