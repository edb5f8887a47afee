/*
 * Events and decisions of PoisonRequestTracker, which limits how many targets a request can crash.
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

/** One process of a target. Its loss counts once for a request, however often it is reported. */
data class TargetInstance(
    val host: HostId,
    val boot: BootId,
)

/** The request with [fingerprint] was running on a target when the process [loss] was lost, at [at]. */
data class Strike(
    val fingerprint: CallFingerprint,
    val loss: TargetInstance,
    val at: Instant,
)

/** Permission for [holder] to run the suspect request with [fingerprint] once on [host]. */
data class Permit(
    val fingerprint: CallFingerprint,
    val host: HostId,
    val holder: DaemonId,
)

/** Events of placements, attempts, targets and peers. */
sealed interface PoisonEvent {
    /** The router chose [host] for [request]; [mayHaveRun] is set for a retry after an attempt that may have run. */
    data class PlacementRequested(
        val request: RequestId,
        val fingerprint: CallFingerprint,
        val host: HostId,
        val mayHaveRun: Boolean,
    ) : PoisonEvent

    /** The router chose to forward [request] to another failure domain, whose daemons grant its permit. */
    data class ForwardingRequested(
        val request: RequestId,
        val fingerprint: CallFingerprint,
        val mayHaveRun: Boolean,
    ) : PoisonEvent

    /** [request] isn't sent to [host] in spite of [PoisonDecision.Place], for example because that came too late. */
    data class PlacementAbandoned(
        val request: RequestId,
        val host: HostId,
    ) : PermitEvent

    /** Other daemons reported [strikes]. */
    data class StrikesReceived(
        val strikes: Set<Strike>,
    ) : PoisonEvent

    /** An attempt of [fingerprint] is about to be sent to [target]. */
    data class AttemptStarted(
        val attempt: AttemptId,
        val fingerprint: CallFingerprint,
        val target: TargetInstance,
    ) : PoisonEvent

    /** The attempt ended and its target still responds. */
    data class AttemptEnded(
        val attempt: AttemptId,
    ) : PoisonEvent

    /** The connection of the attempt broke; it isn't known yet whether its target is lost. */
    data class AttemptConnectionLost(
        val attempt: AttemptId,
    ) : PoisonEvent

    /**
     * A process died, or its host reports another boot. The attempts affected are those sent to [executedOn], which
     * differs from [lostInstance] if a group lost a member other than the one that receives its requests.
     */
    data class TargetLost(
        val lostInstance: TargetInstance,
        val executedOn: TargetInstance = lostInstance,
    ) : PoisonEvent

    /** A report that was requested at [requestedAt] shows that [target] still runs. */
    data class TargetConfirmedAlive(
        val target: TargetInstance,
        val requestedAt: Instant,
    ) : PoisonEvent

    /** A heartbeat or an urgent message of the peer [daemon]; [permits] are those that it holds. */
    data class PeerReported(
        val daemon: DaemonId,
        val strikes: Set<Strike>,
        val permits: Set<Permit>,
    ) : PoisonEvent

    /** The active daemons of the failure domain, including this one. */
    data class ActiveDaemonsChanged(
        val daemons: Set<DaemonId>,
    ) : PoisonEvent

    /** A peer requests [permit] from this daemon as the owner of the permits. */
    data class PermitRequested(
        val request: RequestId,
        val permit: Permit,
    ) : PermitEvent

    /** Response to [PoisonDecision.RequestPermit]; also not [isGranted] if the owner was unreachable. */
    data class PermitResponseReceived(
        val request: RequestId,
        val isGranted: Boolean,
    ) : PermitEvent

    /** The peer that held [permit] returned it. */
    data class PermitReturned(
        val permit: Permit,
    ) : PermitEvent
}

/** Events of permits. */
sealed interface PermitEvent : PoisonEvent

/** Actions that [PoisonRequestTracker] requests. */
sealed interface PoisonDecision {
    /** Send [request] to [host] now. */
    data class Place(
        val request: RequestId,
        val host: HostId,
    ) : PoisonDecision

    /** Forward [request] now. */
    data class Forward(
        val request: RequestId,
    ) : PoisonDecision

    /** Request [permit] from [owner]. */
    data class RequestPermit(
        val owner: DaemonId,
        val request: RequestId,
        val permit: Permit,
    ) : PoisonDecision

    /** Answer the permit request of [recipient]. */
    data class SendPermitResponse(
        val recipient: DaemonId,
        val request: RequestId,
        val isGranted: Boolean,
    ) : PoisonDecision

    /** Return [permit] to [owner]. */
    data class ReturnPermit(
        val owner: DaemonId,
        val permit: Permit,
    ) : PoisonDecision

    /** No permit is available now: try again later with the same or another host, or refuse at the deadline. */
    data class Postpone(
        val request: RequestId,
    ) : PoisonDecision

    /** Refuse [request] finally. */
    data class Refuse(
        val request: RequestId,
        val refusal: Refusal,
    ) : PoisonDecision

    /** Send [strikes] to all peers at once. */
    data class SendStrikes(
        val strikes: Set<Strike>,
    ) : PoisonDecision
}
