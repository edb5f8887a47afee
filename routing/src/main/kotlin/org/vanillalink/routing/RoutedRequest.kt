/*
 * A request without a final decision, and its attempts.
 */
package org.vanillalink.routing

import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import org.vanillalink.model.WorkspaceId
import org.vanillalink.queueing.QueuedRequest
import java.time.Instant

/** The router's state of one request; a higher [weight] gives its workspace a larger share. */
internal class RoutedRequest(
    val arrival: RouterEvent.RequestArrived,
    override val weight: Int,
) : QueuedRequest {
    val id: RequestId get() = arrival.request
    override val urgency: Int get() = arrival.priority
    override val workspace: WorkspaceId get() = arrival.workspace
    override val cost: Double get() = arrival.estimatedTokens.toDouble()
    var attemptCount = 0
    var forwardCount = 0
    var mayHaveRun = false
    var currentAttempt: AttemptRecord? = null
    val failedHosts = ArrayList<HostId>(0)
}

/** Identifies one attempt of a request. */
internal data class AttemptKey(
    val request: RequestId,
    val attempt: Int,
)

/** An attempt that occupies a slot at [targetEntry] or, if that is null, at the daemon of [remoteEntry]. */
internal class AttemptRecord(
    val number: Int,
    val tokens: Int,
    val startedAt: Instant,
    val service: ServiceState,
    val targetEntry: CandidateEntry?,
    val remoteEntry: RemoteDaemonEntry?,
)
