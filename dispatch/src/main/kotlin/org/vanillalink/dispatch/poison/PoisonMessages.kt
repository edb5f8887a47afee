/*
 * What happens to requests that may crash their targets, and what has to be done about it.
 */
package org.vanillalink.dispatch.poison

import org.vanillalink.dispatch.record.CallFingerprint
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.model.Refusal
import org.vanillalink.model.RequestId
import java.time.Instant

/** One target's process that was lost; the same loss counts once, however often it's reported. */
data class TargetInstance(
    val host: HostId,
    val boot: BootId,
)

/** [fingerprint] was running when [loss] happened. */
data class Strike(
    val fingerprint: CallFingerprint,
    val loss: TargetInstance,
    val at: Instant,
)

/** The right to run the suspect [fingerprint] once on [host], given to [holder]. */
data class Permit(
    val fingerprint: CallFingerprint,
    val host: HostId,
    val holder: DaemonId,
)

/** What happened. */
sealed interface PoisonEvent {
    /** [request] could be sent to [host]; [mayHaveRun] for a retry after an attempt that may have run. */
    data class PlacementRequested(
        val request: RequestId,
        val fingerprint: CallFingerprint,
        val host: HostId,
        val mayHaveRun: Boolean,
    ) : PoisonEvent

    /** [request] could be passed to another failure domain, whose daemons see to its permit. */
    data class ForwardingRequested(
        val request: RequestId,
        val fingerprint: CallFingerprint,
        val mayHaveRun: Boolean,
    ) : PoisonEvent

    /** A Place for [host] came too late: [request] isn't sent there. */
    data class PlacementAbandoned(
        val request: RequestId,
        val host: HostId,
    ) : PermitEvent

    /** Other daemons struck. */
    data class StrikesReceived(
        val strikes: Set<Strike>,
    ) : PoisonEvent

    /** An attempt of [fingerprint] is about to be sent to [target]. */
    data class AttemptStarted(
        val attempt: AttemptId,
        val fingerprint: CallFingerprint,
        val target: TargetInstance,
    ) : PoisonEvent

    /** The attempt ended and its target still answers. */
    data class AttemptEnded(
        val attempt: AttemptId,
    ) : PoisonEvent

    /** The attempt's connection broke; whether its target is lost isn't known yet. */
    data class AttemptConnectionLost(
        val attempt: AttemptId,
    ) : PoisonEvent

    /**
     * A process died, or its host reports another boot. Attempts sent to [executedOn] ran on it: another process than
     * [lostInstance] where a group lost a member that isn't the one that takes its requests.
     */
    data class TargetLost(
        val lostInstance: TargetInstance,
        val executedOn: TargetInstance = lostInstance,
    ) : PoisonEvent

    /** A report asked for at [requestedAt] shows that this process still runs. */
    data class TargetConfirmedAlive(
        val target: TargetInstance,
        val requestedAt: Instant,
    ) : PoisonEvent

    /** A peer's heartbeat or urgent message; [permits] are those that it holds. */
    data class PeerReported(
        val daemon: DaemonId,
        val strikes: Set<Strike>,
        val permits: Set<Permit>,
    ) : PoisonEvent

    /** The failure domain's daemons that are heard of, this one among them. */
    data class ActiveDaemonsChanged(
        val daemons: Set<DaemonId>,
    ) : PoisonEvent

    /** A peer asks this daemon, as the owner of the permits, for [permit]. */
    data class PermitRequested(
        val request: RequestId,
        val permit: Permit,
    ) : PermitEvent

    /** The answer to AskPermit; not [isGranted] also where the owner couldn't be reached. */
    data class PermitResponseReceived(
        val request: RequestId,
        val isGranted: Boolean,
    ) : PermitEvent

    /** The peer that held [permit] gave it back. */
    data class PermitReturned(
        val permit: Permit,
    ) : PermitEvent
}

/** What happened to permits. */
sealed interface PermitEvent : PoisonEvent

/** What has to be done. */
sealed interface PoisonDecision {
    /** Send [request] to [host] now. */
    data class Place(
        val request: RequestId,
        val host: HostId,
    ) : PoisonDecision

    /** Pass [request] on now. */
    data class Forward(
        val request: RequestId,
    ) : PoisonDecision

    /** Ask [owner] for [permit]. */
    data class RequestPermit(
        val owner: DaemonId,
        val request: RequestId,
        val permit: Permit,
    ) : PoisonDecision

    /** Answer a peer's question. */
    data class SendPermitResponse(
        val recipient: DaemonId,
        val request: RequestId,
        val isGranted: Boolean,
    ) : PoisonDecision

    /** Tell [owner] that [permit] is free. */
    data class ReturnPermit(
        val owner: DaemonId,
        val permit: Permit,
    ) : PoisonDecision

    /** No permit now: ask again later with another or the same host, or refuse at the deadline. */
    data class Postpone(
        val request: RequestId,
    ) : PoisonDecision

    /** Give the caller its final answer. */
    data class Refuse(
        val request: RequestId,
        val refusal: Refusal,
    ) : PoisonDecision

    /** Send [strikes] to all peers at once. */
    data class SendStrikes(
        val strikes: Set<Strike>,
    ) : PoisonDecision
}
