/*
 * What a target says about itself when a daemon asks for its report.
 *
 * Reports are the only evidence of a target's state: an order that was sent proves nothing until a report shows it.
 */
package org.vanillalink.model

/** How far a target is with its model. */
enum class TargetPhase { EMPTY, LOADING, READY }

/** The place in a serving group that a target believes it has. */
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
 * [sequence] grows with each report of one [boot]. [highestFencingNumber] is the greatest number of any order that the
 * target has taken. [bearableRequests] is how many requests at once the target says it bears now; it is small while
 * [cold] and null where the target doesn't tell. [runningAttempts] are the attempts that it still works on.
 * [queuedRequests] and [freeCacheFraction] (0.0 to 1.0) lag behind the truth.
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
