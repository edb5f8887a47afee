/*
 * Limits how many targets one request can crash, across all of its resends and all daemons that exchange messages.
 *
 * A request that ran on a lost target is a suspect. It is tried once more, and no other suspect runs on its target
 * meanwhile. After two losses it is refused.
 */
package org.vanillalink.dispatch.poison

import org.vanillalink.model.Aggregate
import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.RequestId
import org.vanillalink.model.Transition
import java.time.Instant

private typealias PoisonTransition = Transition<PoisonState, PoisonDecision>

/** Tracks the suspects of one failure domain at one daemon. */
class PoisonRequestTracker(
    private val settings: PoisonSettings = PoisonSettings(),
) : Aggregate<PoisonState, PoisonEvent, PoisonDecision> {
    override fun handle(
        state: PoisonState,
        event: PoisonEvent,
        now: Instant,
    ): Transition<PoisonState, PoisonDecision> = when (event) {
        is PoisonEvent.PlacementRequested -> {
            onPlacementRequested(state, event, now)
        }

        is PoisonEvent.ForwardingRequested -> {
            onForwardingRequested(state, event, now)
        }

        is PoisonEvent.StrikesReceived -> {
            Transition(state.withStrikes(event.strikes, settings, now))
        }

        is PoisonEvent.AttemptStarted -> {
            val attempt = RunningAttempt(event.fingerprint, event.target)
            Transition(state.copy(runningAttempts = state.runningAttempts + (event.attempt to attempt)))
        }

        is PoisonEvent.AttemptEnded -> {
            onAttemptEnded(state, event.attempt)
        }

        is PoisonEvent.AttemptConnectionLost -> {
            onConnectionLost(state, event.attempt, now)
        }

        is PoisonEvent.TargetLost -> {
            onTargetLost(state, event, now)
        }

        is PoisonEvent.TargetConfirmedAlive -> {
            onTargetConfirmedAlive(state, event)
        }

        is PoisonEvent.PeerReported -> {
            onPeerReported(state, event, now)
        }

        is PoisonEvent.ActiveDaemonsChanged -> {
            Transition(state.copy(activeDaemons = event.daemons + state.daemon))
        }

        is PermitEvent -> {
            onPermitEvent(state, event, now)
        }
    }

    private fun onPermitEvent(
        state: PoisonState,
        event: PermitEvent,
        now: Instant,
    ): PoisonTransition = when (event) {
        is PoisonEvent.PermitRequested -> onPermitRequested(state, event, now)
        is PoisonEvent.PermitResponseReceived -> onPermitResponse(state, event)
        is PoisonEvent.PermitReturned -> Transition(state.copy(grantedPermits = state.grantedPermits - event.permit))
        is PoisonEvent.PlacementAbandoned -> returnPermits(state, findUnusedPermits(state, event.host))
    }

    private fun onPlacementRequested(
        state: PoisonState,
        event: PoisonEvent.PlacementRequested,
        now: Instant,
    ): PoisonTransition {
        val strikes = state.countStrikes(event.fingerprint, settings, now)
        if (strikes >= STRIKES_BEFORE_REFUSAL) {
            return Transition(state, listOf(buildRefusal(event.request, event.mayHaveRun)))
        }
        if (strikes == 0) return placeBesideCopies(state, event)
        return placeSuspect(state, event, now)
    }

    private fun placeSuspect(
        state: PoisonState,
        event: PoisonEvent.PlacementRequested,
        now: Instant,
    ): PoisonTransition {
        val permit = Permit(event.fingerprint, event.host, state.daemon)
        if (state.permitOwner != state.daemon) {
            val permitRequest = PoisonDecision.RequestPermit(state.permitOwner, event.request, permit)
            return Transition(
                state.copy(requestedPermits = state.requestedPermits + (event.request to permit)),
                listOf(permitRequest),
            )
        }
        if (!state.canGrant(permit, now)) return Transition(state, listOf(PoisonDecision.Postpone(event.request)))
        return Transition(
            state.copy(
                grantedPermits = state.grantedPermits + (permit to now),
                heldPermits = state.heldPermits + permit,
            ),
            listOf(PoisonDecision.Place(event.request, event.host)),
        )
    }

    /** Sends identical requests to the same target, so that together they can crash only that one. */
    private fun placeBesideCopies(
        state: PoisonState,
        event: PoisonEvent.PlacementRequested,
    ): PoisonTransition {
        val copy = state.runningAttempts.values.find { it.fingerprint == event.fingerprint }
        return Transition(state, listOf(PoisonDecision.Place(event.request, copy?.target?.host ?: event.host)))
    }

    private fun onForwardingRequested(
        state: PoisonState,
        event: PoisonEvent.ForwardingRequested,
        now: Instant,
    ): PoisonTransition {
        val isPoison = state.countStrikes(event.fingerprint, settings, now) >= STRIKES_BEFORE_REFUSAL
        val decision =
            if (isPoison) buildRefusal(event.request, event.mayHaveRun) else PoisonDecision.Forward(event.request)
        return Transition(state, listOf(decision))
    }

    private fun buildRefusal(
        request: RequestId,
        mayHaveRun: Boolean,
    ): PoisonDecision {
        val outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN
        val detail = "$STRIKES_BEFORE_REFUSAL targets failed while they ran this request"
        return PoisonDecision.Refuse(request, Refusal(RefusalReason.POISON_REQUEST, outcome, detail))
    }

    private fun onAttemptEnded(
        state: PoisonState,
        attempt: AttemptId,
    ): PoisonTransition {
        val endedAttempt = state.runningAttempts[attempt] ?: return Transition(state)
        return returnPermits(
            state.copy(runningAttempts = state.runningAttempts - attempt),
            findPermits(state, setOf(endedAttempt)),
        )
    }

    /** Records the strike at once: a retry before the state of the target is known could crash the next target. */
    private fun onConnectionLost(
        state: PoisonState,
        attempt: AttemptId,
        now: Instant,
    ): PoisonTransition {
        val brokenAttempt = state.runningAttempts[attempt] ?: return Transition(state)
        return recordStrikes(
            state.copy(runningAttempts = state.runningAttempts - attempt),
            setOf(brokenAttempt),
            brokenAttempt.target,
            now,
        )
    }

    private fun onTargetLost(
        state: PoisonState,
        event: PoisonEvent.TargetLost,
        now: Instant,
    ): PoisonTransition {
        val affected = state.runningAttempts.filterValues { it.target == event.executedOn }
        return recordStrikes(
            state.copy(runningAttempts = state.runningAttempts - affected.keys),
            affected.values.toSet(),
            event.lostInstance,
            now,
        )
    }

    private fun recordStrikes(
        state: PoisonState,
        attempts: Set<RunningAttempt>,
        loss: TargetInstance,
        now: Instant,
    ): PoisonTransition {
        val strikes = attempts.map { Strike(it.fingerprint, loss, now) }.toSet()
        if (strikes.isEmpty()) return Transition(state)
        val returned = returnPermits(state.withStrikes(strikes, settings, now), findPermits(state, attempts))
        return Transition(returned.state, listOf(PoisonDecision.SendStrikes(strikes)) + returned.decisions)
    }

    private fun findPermits(
        state: PoisonState,
        attempts: Set<RunningAttempt>,
    ): Set<Permit> = state.heldPermits.filter { permit -> attempts.any { it.isPermittedBy(permit) } }.toSet()

    private fun findUnusedPermits(
        state: PoisonState,
        host: HostId,
    ): Set<Permit> = state.heldPermits
        .filter { permit -> permit.host == host && state.runningAttempts.values.none { it.isPermittedBy(permit) } }
        .toSet()

    private fun returnPermits(
        state: PoisonState,
        permits: Set<Permit>,
    ): PoisonTransition {
        val next =
            state.copy(
                heldPermits = state.heldPermits - permits,
                grantedPermits = state.grantedPermits - permits,
            )
        if (state.permitOwner == state.daemon) return Transition(next)
        return Transition(next, permits.map { PoisonDecision.ReturnPermit(state.permitOwner, it) })
    }

    private fun RunningAttempt.isPermittedBy(permit: Permit): Boolean =
        permit.fingerprint == fingerprint && permit.host == target.host

    /** Removes strikes: only a report requested after the strike proves that the target survived the request. */
    private fun onTargetConfirmedAlive(
        state: PoisonState,
        event: PoisonEvent.TargetConfirmedAlive,
    ): PoisonTransition {
        val remaining =
            state.strikes.mapValues { (_, losses) ->
                losses.filterNot { (loss, at) -> loss == event.target && event.requestedAt.isAfter(at) }
            }
        return Transition(state.copy(strikes = remaining.filterValues { it.isNotEmpty() }))
    }

    /** Adopts the reported permits of a peer, so that a new owner learns them and a lost return message is repaired. */
    private fun onPeerReported(
        state: PoisonState,
        event: PoisonEvent.PeerReported,
        now: Instant,
    ): PoisonTransition {
        val cutoff = now.minus(settings.permitReportingDelay)
        val kept =
            state.grantedPermits.filterNot { (permit, at) ->
                permit.holder == event.daemon && at.isBefore(cutoff)
            }
        val reported = event.permits.associateWith { now }
        return Transition(state.withStrikes(event.strikes, settings, now).copy(grantedPermits = kept + reported))
    }

    private fun onPermitRequested(
        state: PoisonState,
        event: PoisonEvent.PermitRequested,
        now: Instant,
    ): PoisonTransition {
        val isBelowLimit = state.countStrikes(event.permit.fingerprint, settings, now) < STRIKES_BEFORE_REFUSAL
        val isGranted = isBelowLimit && state.permitOwner == state.daemon && state.canGrant(event.permit, now)
        val next = if (isGranted) state.copy(grantedPermits = state.grantedPermits + (event.permit to now)) else state
        return Transition(
            next,
            listOf(PoisonDecision.SendPermitResponse(event.permit.holder, event.request, isGranted)),
        )
    }

    private fun onPermitResponse(
        state: PoisonState,
        event: PoisonEvent.PermitResponseReceived,
    ): PoisonTransition {
        val permit = state.requestedPermits[event.request] ?: return Transition(state)
        val next = state.copy(requestedPermits = state.requestedPermits - event.request)
        if (!event.isGranted) return Transition(next, listOf(PoisonDecision.Postpone(event.request)))
        return Transition(
            next.copy(heldPermits = next.heldPermits + permit),
            listOf(PoisonDecision.Place(event.request, permit.host)),
        )
    }

    private fun PoisonState.canGrant(
        permit: Permit,
        now: Instant,
    ): Boolean {
        val expiry = now.minus(settings.strikeLifetime)
        return grantedPermits.none { (granted, at) -> at.isAfter(expiry) && granted.conflictsWith(permit) }
    }

    private fun Permit.conflictsWith(other: Permit): Boolean = host == other.host || fingerprint == other.fingerprint

    private companion object {
        const val STRIKES_BEFORE_REFUSAL = 2
    }
}
