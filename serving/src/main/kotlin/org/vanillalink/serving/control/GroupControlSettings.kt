/*
 * Delays of the control of groups, in milliseconds.
 */
package org.vanillalink.serving.control

/** Bounds and pauses. */
data class GroupControlSettings(
    /** A member of a suspected group isn't asked more often than this; about two round trips and the report's lag. */
    val reportRepeatMilliseconds: Long = 300,
    /** An order without an answer is sent again after this; longer than any round trip inside a region. */
    val resendMilliseconds: Long = 500,
    /** How long members of a group whose head was never seen are left alone; longer than entries take to come back. */
    val unknownHeadMilliseconds: Long = 6_000,
    /**
     * How long another target's answer proves the path. Covers the second of two questions, and is shorter than the
     * pause after which a stall is noticed together with the first question's timeout.
     */
    val pathEvidenceMilliseconds: Long = 400,
    /**
     * How long entries that lapsed together may take to come back once their targets answer: two heartbeats and a bit.
     */
    val relistMilliseconds: Long = 3_000,
    /** How many members unlisted at once may mean that the failure domain was cut off. */
    val massExpiryTargets: Int = 4,
    /** Pause between two questions whether a member is ready. */
    val pollIntervalMilliseconds: Long = 100,
    /** How long members with the model in memory take to join. */
    val rejoinMilliseconds: Long = 200,
    /**
     * How long a target's word about itself holds. Two controllers that don't hear of each other differ for longer, but
     * a group needs more than half of this to open.
     */
    val confirmationMilliseconds: Long = 900,
    /** Slack after the expected end of a formation before it is given up. */
    val formationGraceMilliseconds: Long = 2_500,
    /** How long work in progress may hold back a planned change of members; most answers take less. */
    val gracefulCloseMilliseconds: Long = 3_000,
    /** How long an opened group is believed before the registry shows it. */
    val listingLagMilliseconds: Long = 2_500,
    /** How long names of dissolved groups are remembered; longer than an order can be carried out late. */
    val retentionMilliseconds: Long = 20_000,
    /** Questions without an answer to a head that is no longer listed before it is taken as ended. */
    val unansweredBeforeGone: Int = 2,
    /** A target that gave no answer is asked again after this. */
    val failedRetryMilliseconds: Long = 700,
    /** How long peers are told of a broken group; many heartbeats. */
    val announceBrokenMilliseconds: Long = 2_000,
    /** Questions without an answer, one right after the other, before a target is taken as lost. */
    val missedReportsBeforeFailed: Int = 2,
    /** Before the first request, how long no new target must have come before spares are chosen. */
    val settlingMilliseconds: Long = 1_500,
    /** Free targets that a fabric domain keeps before it forms a second group of a model. */
    val reservePerFabricDomain: Int = 2,
)
