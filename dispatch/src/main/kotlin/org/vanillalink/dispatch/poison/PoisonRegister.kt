/*
 * Bounds how many targets one request takes down, over all its resends and all daemons that hear of each other.
 *
 * A request that ran on a lost target is a suspect and is tried once more, alone among suspects on its target. With
 * two losses it is refused.
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

/** The suspects of one failure domain, as one daemon sees them. */
class PoisonRegister(
    private val settings: PoisonSettings = PoisonSettings(),
) : Aggregate<PoisonState, PoisonEvent, PoisonDecision> {
    override fun handle(
        state: PoisonState,
        event: PoisonEvent,
        now: Instant,
    ): Transition<PoisonState, PoisonDecision> = when (event) {
        is PoisonEvent.PlacementWanted -> {
            place(state, event, now)
        }

        is PoisonEvent.ForwardingWanted -> {
            forward(state, event, now)
        }

        is PoisonEvent.StrikesHeard -> {
            Transition(state.withStrikes(event.strikes, settings, now))
        }

        is PoisonEvent.AttemptStarted -> {
            val attempt = RunningAttempt(event.fingerprint, event.target)
            Transition(state.copy(running = state.running + (event.attempt to attempt)))
        }

        is PoisonEvent.AttemptEnded -> {
            ended(state, event.attempt)
        }

        is PoisonEvent.AttemptBroken -> {
            broken(state, event.attempt, now)
        }

        is PoisonEvent.TargetLost -> {
            lost(state, event, now)
        }

        is PoisonEvent.TargetProvedAlive -> {
            provedAlive(state, event)
        }

        is PoisonEvent.PeerReported -> {
            peerReported(state, event, now)
        }

        is PoisonEvent.DaemonsHeard -> {
            Transition(state.copy(daemons = event.daemons + state.daemon))
        }

        is PermitEvent -> {
            permits(state, event, now)
        }
    }

    private fun permits(
        state: PoisonState,
        event: PermitEvent,
        now: Instant,
    ): PoisonTransition = when (event) {
        is PoisonEvent.PermitAsked -> permitAsked(state, event, now)
        is PoisonEvent.PermitAnswered -> permitAnswered(state, event)
        is PoisonEvent.PermitReturned -> Transition(state.copy(granted = state.granted - event.permit))
        is PoisonEvent.PlacementDropped -> returnPermits(state, unusedPermits(state, event.host))
    }

    private fun place(
        state: PoisonState,
        event: PoisonEvent.PlacementWanted,
        now: Instant,
    ): PoisonTransition {
        val strikes = state.strikesOf(event.fingerprint, settings, now)
        if (strikes >= STRIKES_BEFORE_REFUSAL) {
            return Transition(state, listOf(refusal(event.request, event.mayHaveRun)))
        }
        if (strikes == 0) return placeBesideCopies(state, event)
        return placeSuspect(state, event, now)
    }

    private fun placeSuspect(
        state: PoisonState,
        event: PoisonEvent.PlacementWanted,
        now: Instant,
    ): PoisonTransition {
        val permit = Permit(event.fingerprint, event.host, state.daemon)
        if (state.permitOwner != state.daemon) {
            val asking = PoisonDecision.AskPermit(state.permitOwner, event.request, permit)
            return Transition(state.copy(asked = state.asked + (event.request to permit)), listOf(asking))
        }
        if (!state.allows(permit, now)) return Transition(state, listOf(PoisonDecision.Postpone(event.request)))
        return Transition(
            state.copy(granted = state.granted + (permit to now), held = state.held + permit),
            listOf(PoisonDecision.Place(event.request, event.host)),
        )
    }

    /** Copies of one request go to one target, so that they can take only that one down together. */
    private fun placeBesideCopies(
        state: PoisonState,
        event: PoisonEvent.PlacementWanted,
    ): PoisonTransition {
        val copy = state.running.values.find { it.fingerprint == event.fingerprint }
        return Transition(state, listOf(PoisonDecision.Place(event.request, copy?.target?.host ?: event.host)))
    }

    private fun forward(
        state: PoisonState,
        event: PoisonEvent.ForwardingWanted,
        now: Instant,
    ): PoisonTransition {
        val isPoison = state.strikesOf(event.fingerprint, settings, now) >= STRIKES_BEFORE_REFUSAL
        val decision =
            if (isPoison) refusal(event.request, event.mayHaveRun) else PoisonDecision.Forward(event.request)
        return Transition(state, listOf(decision))
    }

    private fun refusal(
        request: RequestId,
        mayHaveRun: Boolean,
    ): PoisonDecision {
        val outcome = if (mayHaveRun) RefusalOutcome.UNKNOWN else RefusalOutcome.NOT_RUN
        val detail = "$STRIKES_BEFORE_REFUSAL targets failed while they ran this request"
        return PoisonDecision.Refuse(request, Refusal(RefusalReason.POISON_REQUEST, outcome, detail))
    }

    private fun ended(
        state: PoisonState,
        attempt: AttemptId,
    ): PoisonTransition {
        val ended = state.running[attempt] ?: return Transition(state)
        return returnPermits(state.copy(running = state.running - attempt), permitsOf(state, setOf(ended)))
    }

    /** A strike at once, since a retry before the target's fate is known could take the next one down. */
    private fun broken(
        state: PoisonState,
        attempt: AttemptId,
        now: Instant,
    ): PoisonTransition {
        val broken = state.running[attempt] ?: return Transition(state)
        return strike(state.copy(running = state.running - attempt), setOf(broken), broken.target, now)
    }

    private fun lost(
        state: PoisonState,
        event: PoisonEvent.TargetLost,
        now: Instant,
    ): PoisonTransition {
        val hit = state.running.filterValues { it.target == event.ranAt }
        return strike(state.copy(running = state.running - hit.keys), hit.values.toSet(), event.loss, now)
    }

    private fun strike(
        state: PoisonState,
        attempts: Set<RunningAttempt>,
        loss: TargetLoss,
        now: Instant,
    ): PoisonTransition {
        val strikes = attempts.map { Strike(it.fingerprint, loss, now) }.toSet()
        if (strikes.isEmpty()) return Transition(state)
        val returned = returnPermits(state.withStrikes(strikes, settings, now), permitsOf(state, attempts))
        return Transition(returned.state, listOf(PoisonDecision.TellPeers(strikes)) + returned.decisions)
    }

    private fun permitsOf(
        state: PoisonState,
        attempts: Set<RunningAttempt>,
    ): Set<Permit> = state.held.filter { permit -> attempts.any { it.holds(permit) } }.toSet()

    private fun unusedPermits(
        state: PoisonState,
        host: HostId,
    ): Set<Permit> = state.held
        .filter { permit -> permit.host == host && state.running.values.none { it.holds(permit) } }
        .toSet()

    private fun returnPermits(
        state: PoisonState,
        free: Set<Permit>,
    ): PoisonTransition {
        val next = state.copy(held = state.held - free, granted = state.granted - free)
        if (state.permitOwner == state.daemon) return Transition(next)
        return Transition(next, free.map { PoisonDecision.ReturnPermit(state.permitOwner, it) })
    }

    private fun RunningAttempt.holds(permit: Permit): Boolean =
        permit.fingerprint == fingerprint && permit.host == target.host

    /** Only a report that was asked for after the strike proves that the target survived the request. */
    private fun provedAlive(
        state: PoisonState,
        event: PoisonEvent.TargetProvedAlive,
    ): PoisonTransition {
        val lifted =
            state.strikes.mapValues { (_, losses) ->
                losses.filterNot { (loss, at) -> loss == event.target && event.askedAt.isAfter(at) }
            }
        return Transition(state.copy(strikes = lifted.filterValues { it.isNotEmpty() }))
    }

    /** A peer's permits are taken as it tells them, so that a new owner learns them and a lost return is made good. */
    private fun peerReported(
        state: PoisonState,
        event: PoisonEvent.PeerReported,
        now: Instant,
    ): PoisonTransition {
        val settled = now.minus(settings.permitSettleTime)
        val kept = state.granted.filterNot { (permit, at) -> permit.holder == event.daemon && at.isBefore(settled) }
        val told = event.permits.associateWith { now }
        return Transition(state.withStrikes(event.strikes, settings, now).copy(granted = kept + told))
    }

    private fun permitAsked(
        state: PoisonState,
        event: PoisonEvent.PermitAsked,
        now: Instant,
    ): PoisonTransition {
        val bearable = state.strikesOf(event.permit.fingerprint, settings, now) < STRIKES_BEFORE_REFUSAL
        val granted = bearable && state.permitOwner == state.daemon && state.allows(event.permit, now)
        val next = if (granted) state.copy(granted = state.granted + (event.permit to now)) else state
        return Transition(next, listOf(PoisonDecision.AnswerPermit(event.permit.holder, event.request, granted)))
    }

    private fun permitAnswered(
        state: PoisonState,
        event: PoisonEvent.PermitAnswered,
    ): PoisonTransition {
        val permit = state.asked[event.request] ?: return Transition(state)
        val next = state.copy(asked = state.asked - event.request)
        if (!event.granted) return Transition(next, listOf(PoisonDecision.Postpone(event.request)))
        return Transition(
            next.copy(held = next.held + permit),
            listOf(PoisonDecision.Place(event.request, permit.host)),
        )
    }

    private fun PoisonState.allows(
        permit: Permit,
        now: Instant,
    ): Boolean {
        val oldest = now.minus(settings.strikeLifetime)
        return granted.none { (given, at) -> at.isAfter(oldest) && given.overlaps(permit) }
    }

    private fun Permit.overlaps(other: Permit): Boolean = host == other.host || fingerprint == other.fingerprint

    private companion object {
        const val STRIKES_BEFORE_REFUSAL = 2
    }
}
