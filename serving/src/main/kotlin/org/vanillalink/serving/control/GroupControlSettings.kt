/*
 * Timeouts and limits of the group controller.
 */
package org.vanillalink.serving.control

/** Settings of [GroupController]. */
data class GroupControlSettings(
    /**
     * Minimum time between report requests to a member of a suspected group: about two round trips and the report's
     * lag.
     */
    val reportRepeatMilliseconds: Long = 300,
    /** Time until an unanswered order is sent again; longer than any round trip within a region. */
    val resendMilliseconds: Long = 500,
    /**
     * How long members of a group without a known head aren't ordered to leave it; longer than expired entries take to
     * be listed again.
     */
    val unknownHeadMilliseconds: Long = 6_000,
    /**
     * How long another target's answer proves that the network path works. Covers the second of two report requests,
     * and is shorter than the time after which a stall is detected plus the timeout of the first request.
     */
    val pathEvidenceMilliseconds: Long = 400,
    /**
     * How long entries that expired together may take to be listed again once their targets answer: over two
     * heartbeats.
     */
    val relistMilliseconds: Long = 3_000,
    /** The number of members unlisted at once that may indicate a partition of the failure domain. */
    val massExpiryTargets: Int = 4,
    /** Interval between polls whether a member is ready. */
    val pollIntervalMilliseconds: Long = 100,
    /** Time that members with the model in memory need to join. */
    val rejoinMilliseconds: Long = 200,
    /**
     * How long a target's confirmation that it is free is valid. Two controllers that don't receive each other's
     * messages can disagree for longer, but a group needs more than half of this time to open.
     */
    val confirmationMilliseconds: Long = 900,
    /** Time after the expected end of a formation until it is abandoned. */
    val formationGraceMilliseconds: Long = 2_500,
    /**
     * How long requests in flight may delay a planned change of members. A member that leaves remains for at most this
     * long while its head has requests, so those that take longer can't be completed.
     */
    val gracefulCloseMilliseconds: Long = 10_000,
    /**
     * Consecutive unanswered report requests to an unlisted head that closes until its members are ordered to leave.
     */
    val unansweredBeforeClosingGone: Int = 3,
    /** How long the registry may take to list an opened group. */
    val listingLagMilliseconds: Long = 2_500,
    /**
     * How long dissolved groups and other history are kept; longer than the delay with which an order can take effect.
     */
    val retentionMilliseconds: Long = 20_000,
    /** Unanswered report requests to an unlisted head until its members are ordered to leave. */
    val unansweredBeforeGone: Int = 2,
    /** Time until a failed or unlisted target is queried again. */
    val failedRetryMilliseconds: Long = 700,
    /** How long a broken group is announced to peers; many heartbeats. */
    val announceBrokenMilliseconds: Long = 2_000,
    /** Consecutive unanswered report requests until a target counts as failed. */
    val missedReportsBeforeFailed: Int = 2,
    /**
     * How long a group waits for a silent member where no other target can take its place: as long as its head waits
     * before it breaks.
     */
    val silenceMilliseconds: Long = 5_000,
    /** Before the first request, how long no new target must have been listed until spares are selected. */
    val settlingMilliseconds: Long = 1_500,
    /**
     * Before the first request, how long a fabric domain whose targets are being listed waits at most for those of a
     * larger model before it forms groups of a smaller one.
     */
    val listingMilliseconds: Long = 4_000,
    /**
     * How long a model has no open group until that is reported and other groups give members up; longer than a group
     * with a spare in memory takes to be formed again.
     */
    val unservedAlarmMilliseconds: Long = 3_000,
    /**
     * For how many groups of each model the failure domain keeps targets, in different fabric domains: with two, the
     * model is still served when one loses a member.
     */
    val reservedGroups: Int = 2,
    /**
     * How long the groups of a model can't serve its demand until another model's group gives its members up; longer
     * than the loads of a change and than demand that swings within seconds.
     */
    val lastingDemandMilliseconds: Long = 20_000,
    /** How long after a change demand isn't judged: until it shows what the change has brought. */
    val reassignmentPauseMilliseconds: Long = 10_000,
    /** How long a target that refuses to stage a model isn't ordered to do so again; about as long as a warm load. */
    val refusedStagingMilliseconds: Long = 5_000,
    /** Free targets that must remain in a fabric domain when it forms a second group of a model. */
    val reservePerFabricDomain: Int = 2,
)
