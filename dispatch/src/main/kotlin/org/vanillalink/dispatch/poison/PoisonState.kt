/*
 * One daemon's strikes, running attempts and permits of requests that may crash their targets.
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
 * Within [permitReportingDelay] of a grant, the messages of its holder may not list the permit yet. A permit whose
 * holder sends no more messages expires after [strikeLifetime].
 */
data class PoisonSettings(
    val strikeLifetime: Duration = DEFAULT_STRIKE_LIFETIME,
    val permitReportingDelay: Duration = DEFAULT_PERMIT_REPORTING_DELAY,
)

/** A running attempt of this daemon. */
data class RunningAttempt(
    val fingerprint: CallFingerprint,
    val target: TargetInstance,
)

/**
 * The state of one daemon. [grantedPermits] are the permits that this daemon granted as their owner or that their
 * holders reported, with the time of the grant or the report. [heldPermits] are held by this daemon;
 * [requestedPermits] are those that it requested and got no response for yet.
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
    /** The daemon that grants permits: one per failure domain, so that a target never runs two suspects. */
    val permitOwner: DaemonId get() = activeDaemons.maxBy { computeRendezvousWeight(it) }

    /** Returns the strikes to report to peers in heartbeats, together with [heldPermits]. */
    fun collectStrikes(): Set<Strike> = strikes
        .flatMap { (fingerprint, losses) -> losses.map { (loss, at) -> Strike(fingerprint, loss, at) } }
        .toSet()

    /** Counts the unexpired strikes against [fingerprint] at [now]: the targets that were lost while running it. */
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
