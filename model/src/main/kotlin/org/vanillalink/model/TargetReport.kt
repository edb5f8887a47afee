/*
 * The status report that a target returns to a daemon.
 *
 * Reports are the only evidence of a target's state: an order that was sent counts as carried out only once a report
 * shows its effect.
 */
package org.vanillalink.model

/** The state of a target's model. */
enum class TargetPhase { EMPTY, LOADING, READY }

/** The position in a serving group that a target reports for itself. */
data class Assignment(
    val service: ServiceName,
    val group: GroupId,
    val generation: Generation,
    val rank: Int,
    val size: Int,
)

/**
 * A target's report.
 *
 * [sequence] increases with each report of one [boot]. [highestFencingNumber] is the highest number of any order that
 * the target has accepted. [bearableRequests] is the number of concurrent requests that the target can handle now; it
 * is small while [cold] and null if the target doesn't report it. [runningAttempts] are the attempts still in progress.
 * [queuedRequests] and [freeCacheFraction] (0.0 to 1.0) can be out of date.
 */
data class TargetReport(
    val host: HostId,
    val boot: BootId,
    val sequence: Long,
    val phase: TargetPhase,
    val assignment: Assignment? = null,
    val highestFencingNumber: FencingNumber = FencingNumber.NONE,
    val cold: Boolean = false,
    val bearableRequests: Int? = null,
    val runningAttempts: Set<AttemptId> = emptySet(),
    val queuedRequests: Int = 0,
    val freeCacheFraction: Double = 1.0,
    val tokensPerSecond: Double = 0.0,
)
