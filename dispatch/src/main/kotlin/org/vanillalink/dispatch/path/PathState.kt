/*
 * Open streams, and the probes of targets with silent streams.
 */
package org.vanillalink.dispatch.path

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import java.time.Duration
import java.time.Instant

private const val DEFAULT_GAPS_UNTIL_SILENT = 3
private const val DEFAULT_GAPS_UNTIL_SILENT_WHILE_RUNNING = 12
private const val DEFAULT_FAILED_PROBES_UNTIL_SUSPECTED = 3

/**
 * A stream counts as silent after [gapsUntilSilent] expected gaps without a byte, or after
 * [gapsUntilSilentWhileRunning] if a target's report requested since the last byte lists its attempt as running.
 */
data class PathSettings(
    val gapsUntilSilent: Int = DEFAULT_GAPS_UNTIL_SILENT,
    val gapsUntilSilentWhileRunning: Int = DEFAULT_GAPS_UNTIL_SILENT_WHILE_RUNNING,
    val failedProbesUntilSuspected: Int = DEFAULT_FAILED_PROBES_UNTIL_SUSPECTED,
    val probeInterval: Duration = Duration.ofSeconds(1),
)

/**
 * One open stream; [reportRequestedAt] is when the last report that lists its attempt as running was requested, and
 * [probeAnsweredAt] when its target answered a probe while the stream was silent, which it has been since.
 */
data class WatchedStream(
    val target: HostId,
    val connection: ConnectionId,
    val expectedGap: Duration,
    val lastByteAt: Instant,
    val reportRequestedAt: Instant? = null,
    val probeAnsweredAt: Instant? = null,
)

/** Consecutive probes of one target; [nextProbeAt] is set after a failure. */
data class ProbeSeries(
    val probeNumber: Long,
    val failures: Int = 0,
    val nextProbeAt: Instant? = null,
)

/** The streams and probes of one daemon process. */
data class PathState(
    val streams: Map<AttemptId, WatchedStream> = emptyMap(),
    val probes: Map<HostId, ProbeSeries> = emptyMap(),
    val lastProbeNumber: Long = 0,
)
