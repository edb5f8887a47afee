/*
 * A router with a controllable clock, and helpers that build and feed its events.
 */
package org.vanillalink.routing

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.WorkspaceId
import java.time.Duration
import java.time.Instant

internal val SERVICE = ServiceName("brief-writer")
internal val LOCAL_DOMAIN = FailureDomainId("ikeja")
internal val REMOTE_DOMAIN = FailureDomainId("apapa")

internal class RouterFixture(
    settings: RouterSettings = RouterSettings(),
) {
    val state = RouterState(settings)
    var now: Instant = Instant.EPOCH
    private val router = Router()

    fun feed(event: RouterEvent): List<RouterDecision> = router.handle(state, event, now).decisions

    fun arrive(
        id: String,
        workspace: String = "w",
        priority: Int = 0,
        deadlineIn: Duration = Duration.ofSeconds(60),
        prefix: List<Long> = emptyList(),
        forwarded: Boolean = false,
        repeatable: Boolean = true,
    ): List<RouterDecision> = feed(
        RouterEvent.RequestArrived(
            RequestId(id),
            SERVICE,
            WorkspaceId(workspace),
            now.plus(deadlineIn),
            priority,
            estimatedTokens = 100,
            prefixFingerprints = prefix,
            forwarded = forwarded,
            repeatable = repeatable,
        ),
    )

    fun target(
        host: String,
        capacity: Int = 4,
        units: Int? = null,
        boot: String = "1",
        leaving: Boolean = false,
        straggler: Boolean = false,
        load: ReportedLoad? = null,
    ): List<RouterDecision> =
        feed(RouterEvent.CandidateUpdated(candidate(host, capacity, units, boot, leaving, straggler, load)))

    fun candidate(
        host: String,
        capacity: Int = 4,
        units: Int? = null,
        boot: String = "1",
        leaving: Boolean = false,
        straggler: Boolean = false,
        load: ReportedLoad? = null,
    ) = TargetCandidate(HostId(host), BootId(boot), SERVICE, LOCAL_DOMAIN, capacity, units, leaving, straggler, load)

    fun reportRemoteCapacity(
        daemon: String = "d2",
        free: Int = 10,
        queue: Int = 0,
    ): List<RouterDecision> = feed(
        RouterEvent.RemoteCapacityReported(
            RemoteCapacity(DaemonId(daemon), REMOTE_DOMAIN, SERVICE, 4, free, queue, now),
        ),
    )

    fun setDomainState(
        failureDomain: FailureDomainId,
        state: FailureDomainState,
    ): List<RouterDecision> = feed(RouterEvent.FailureDomainStateChanged(failureDomain, state))

    fun finish(
        id: String,
        attempt: Int = 1,
        took: Duration = Duration.ofSeconds(1),
    ): List<RouterDecision> = feed(RouterEvent.AttemptFinished(RequestId(id), attempt, took))

    fun fail(
        id: String,
        attempt: Int = 1,
        mayHaveRun: Boolean = true,
        tokensDelivered: Boolean = false,
        resumable: Boolean = false,
        executionEnded: Boolean = true,
    ): List<RouterDecision> =
        feed(RouterEvent.AttemptFailed(RequestId(id), attempt, mayHaveRun, tokensDelivered, resumable, executionEnded))

    fun tick(after: Duration = Duration.ZERO): List<RouterDecision> {
        now = now.plus(after)
        return feed(RouterEvent.Tick)
    }

    /** Runs one request that takes [took], so that the router has a service time estimate. */
    fun learnServiceTime(took: Duration = Duration.ofSeconds(1)) {
        arrive("pace")
        finish("pace", took = took)
    }
}

internal fun List<RouterDecision>.starts() = filterIsInstance<RouterDecision.StartAttempt>()

internal fun List<RouterDecision>.forwards() = filterIsInstance<RouterDecision.ForwardRequest>()

internal fun List<RouterDecision>.refusals() = filterIsInstance<RouterDecision.RefuseRequest>()

internal fun List<RouterDecision>.startedHosts() = starts().map { it.host.value }

internal fun List<RouterDecision>.startedRequests() = starts().map { it.request.value }
