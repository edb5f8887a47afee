/*
 * Open streams and the probes that look behind silent ones.
 */
package org.vanillalink.dispatch.path

import org.vanillalink.model.AttemptId
import org.vanillalink.model.HostId
import java.time.Duration
import java.time.Instant

private const val DEFAULT_GAPS = 3
private const val DEFAULT_REPORTED_GAPS = 12
private const val DEFAULT_PROBES = 3

/**
 * Settings of silent connections. A stream is silent after [gapsUntilSilent] expected gaps without a byte, or after
 * [gapsWhileReported] where the target's reports show its attempt running.
 */
data class PathSettings(
    val gapsUntilSilent: Int = DEFAULT_GAPS,
    val gapsWhileReported: Int = DEFAULT_REPORTED_GAPS,
    val probesUntilSuspected: Int = DEFAULT_PROBES,
    val probeInterval: Duration = Duration.ofSeconds(1),
)

/** One open stream; [reportedAt] is when the last report that showed it running was asked for. */
data class WatchedStream(
    val target: HostId,
    val connection: ConnectionId,
    val expectedGap: Duration,
    val lastByteAt: Instant,
    val reportedAt: Instant? = null,
)

/** Probes of one target in a row; [nextAt] is set after a failure. */
data class ProbeSeries(
    val probe: Long,
    val failures: Int = 0,
    val nextAt: Instant? = null,
)

/** All that one process watches. */
data class PathState(
    val streams: Map<AttemptId, WatchedStream> = emptyMap(),
    val probes: Map<HostId, ProbeSeries> = emptyMap(),
    val lastProbe: Long = 0,
)
