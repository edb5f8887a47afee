/*
 * The names and fields under which decisions appear on the time line.
 */
package org.vanillalink.control

import org.vanillalink.admission.LedgerDecision
import org.vanillalink.configuration.ReplicaTimelineEntry
import org.vanillalink.groups.DomainDecision
import org.vanillalink.groups.ServingDecision
import org.vanillalink.membership.MembershipDecision
import org.vanillalink.routing.RouterDecision

internal object TimelineRecords {
    fun from(decision: DomainDecision.TimelineEntry): DaemonDecision.Record = when (decision) {
        is DomainDecision.ControlGained -> {
            record("control-gained", "fencing" to decision.fencingNumber)
        }

        is DomainDecision.ControlLost -> {
            record("control-lost", "fencing" to decision.fencingNumber, "reason" to decision.reason)
        }

        is DomainDecision.GroupFormed -> {
            record(
                "group-formed",
                "service" to decision.description.service,
                "group" to decision.description.group,
                "generation" to decision.description.generation,
                "members" to decision.description.members.joinToString(","),
                "reason" to decision.reason,
            )
        }

        is DomainDecision.GroupTakenOver -> {
            record(
                "group-taken-over",
                "group" to decision.description.group,
                "generation" to decision.description.generation,
            )
        }

        is DomainDecision.PlatformStatusChanged -> {
            record("platform-reachable", "reachable" to decision.isReachable)
        }
    }

    fun from(decision: ServingDecision): DaemonDecision.Record = when (decision) {
        is ServingDecision.GroupServing -> {
            record("group-serving", "group" to decision.group, "generation" to decision.generation)
        }

        is ServingDecision.GroupStoppedServing -> {
            record(
                "group-stopped-serving",
                "group" to decision.group,
                "generation" to decision.generation,
                "reason" to decision.reason,
            )
        }

        is ServingDecision.StragglerChanged -> {
            record("straggler-changed", "group" to decision.group, "host" to decision.host)
        }
    }

    fun from(entry: ReplicaTimelineEntry): DaemonDecision.Record = when (entry) {
        is ReplicaTimelineEntry.RevisionInForce -> {
            record("configuration-in-force", "revision" to entry.revision, "source" to entry.source)
        }

        is ReplicaTimelineEntry.RevisionUnreadable -> {
            record("configuration-unreadable", "revision" to entry.revision, "errors" to entry.errors)
        }

        is ReplicaTimelineEntry.OlderRevisionIgnored -> {
            record("configuration-older-ignored", "revision" to entry.revision, "held" to entry.heldRevision)
        }
    }

    fun from(decision: MembershipDecision.RecordPeerChange) = record(
        "peer-" + decision.change.name.lowercase(),
        "peer" to decision.peer.daemon,
        "boot" to decision.peer.boot,
        "failure-domain" to decision.peer.failureDomain,
    )

    fun from(decision: RouterDecision.OverloadBegan) =
        record("overload-began", "service" to decision.service, "queued" to decision.queued)

    fun from(decision: RouterDecision.OverloadEnded) =
        record("overload-ended", "service" to decision.service, "refused" to decision.refused)

    fun from(decision: LedgerDecision.BoundChanged) = record(
        "admission-bound-changed",
        "host" to decision.host,
        "bound" to decision.bound,
        "cold" to decision.cold,
    )

    private fun record(
        name: String,
        vararg fields: Pair<String, Any?>,
    ) = DaemonDecision.Record(name, fields.toMap())
}
