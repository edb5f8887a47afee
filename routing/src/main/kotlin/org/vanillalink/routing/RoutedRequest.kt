/*
 * A request that has no final answer yet, and its attempts.
 */
package org.vanillalink.routing

import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import java.time.Instant

/** What the router remembers of one request. */
internal class RoutedRequest(
    val arrival: RouterEvent.RequestArrived,
    val weight: Int,
) {
    val id: RequestId get() = arrival.request
    val cost: Double get() = arrival.estimatedTokens.toDouble()
    var attemptCount = 0
    var forwardCount = 0
    var mayHaveRun = false
    var currentAttempt: AttemptRecord? = null
    val failedHosts = ArrayList<HostId>(0)
}

/** Names one attempt. */
internal data class AttemptKey(
    val request: RequestId,
    val attempt: Int,
)

/** One attempt that still uses a slot, at [targetEntry] or, where that is null, at the daemon of [remoteEntry]. */
internal class AttemptRecord(
    val number: Int,
    val tokens: Int,
    val startedAt: Instant,
    val service: ServiceState,
    val targetEntry: CandidateEntry?,
    val remoteEntry: RemoteDaemonEntry?,
)
