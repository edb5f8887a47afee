/*
 * Open streams and the probes that look behind silent ones.
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
 * Settings of silent connections. A stream is silent after [gapsUntilSilent] expected gaps without a byte, or after
 * [gapsUntilSilentWhileRunning] where the target's reports show its attempt running.
 */
data class PathSettings(
    val gapsUntilSilent: Int = DEFAULT_GAPS_UNTIL_SILENT,
    val gapsUntilSilentWhileRunning: Int = DEFAULT_GAPS_UNTIL_SILENT_WHILE_RUNNING,
    val failedProbesUntilSuspected: Int = DEFAULT_FAILED_PROBES_UNTIL_SUSPECTED,
    val probeInterval: Duration = Duration.ofSeconds(1),
)

/** One open stream; [reportRequestedAt] is when the last report that showed it running was asked for. */
data class WatchedStream(
    val target: HostId,
    val connection: ConnectionId,
    val expectedGap: Duration,
    val lastByteAt: Instant,
    val reportRequestedAt: Instant? = null,
)

/** Probes of one target in a row; [nextProbeAt] is set after a failure. */
data class ProbeSeries(
    val probeNumber: Long,
    val failures: Int = 0,
    val nextProbeAt: Instant? = null,
)

/** All that one process watches. */
data class PathState(
    val streams: Map<AttemptId, WatchedStream> = emptyMap(),
    val probes: Map<HostId, ProbeSeries> = emptyMap(),
    val lastProbeNumber: Long = 0,
)
