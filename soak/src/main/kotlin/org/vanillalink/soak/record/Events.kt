/*
 * What targets, the proxies before them and the operator saw and did.
 */
package org.vanillalink.soak.record

import org.vanillalink.standins.runner.GroupChange
import org.vanillalink.standins.runner.GroupIdentity

/** The kinds of faults and of planned work. */
enum class FaultKind(
    /** Whether the target has broken off the request that it meets, in the sense of the rules. */
    val breaksOff: Boolean = false,
) {
    STUTTER_WHOLE,
    STUTTER_PART,
    SILENT,
    SILENT_TARGET,
    SILENT_GROUP,
    GROUP_BROKEN(true),
    ENDLESS(true),
    STOP_IN_HEAD(true),
    STOP_IN_BODY(true),
    RESET(true),
    EARLY_CLOSE(true),
    TARGET_CRASH(true),
    TARGET_DRAINS,
    TERM,
    TERM_SEVERAL,
    TERM_TWICE,
    TERM_STARTING,
    RESTART_AT_ONCE,
    HUP,
    KILL,
    PAUSE,
    CONFIGURATION,
    STORE_UNAVAILABLE,
    STORE_ANSWERS_LOST,
    STORE_HISTORY_LOST,
    ODD_ENTRY,
    DEADLY_REQUEST,
    ;

    /** Whether it is a fault of connections to targets. */
    val isOfTargets: Boolean get() = this <= TARGET_DRAINS
}

/**
 * A fault that was injected; [requestId] is the request that it met at a target, or null if none was there.
 * [connection] is the number of the connection to the target, for faults of one connection.
 */
data class InjectedFault(
    val kind: FaultKind,
    val atMs: Long,
    val target: String,
    val requestId: String?,
    val detail: String = "",
    val connection: Int? = null,
)

/** A request that a target began to run, as the target got it; [group] is that whose head the target was. */
data class Run(
    val requestId: String,
    val target: String,
    val atMs: Long,
    val method: String,
    val path: String,
    val bodyHash: Int,
    val lastEventId: Int?,
    val group: GroupIdentity? = null,
)

/** A change of the membership of [target]. */
data class GroupEvent(
    val target: String,
    val atMs: Long,
    val change: GroupChange,
) {
    /** When a join or an order to open takes effect. */
    val effectiveMs: Long get() = atMs + change.afterMilliseconds
}

/** A request on its way to a target. [endedMs] is when the answer had been passed on whole, or null without one. */
data class Passage(
    val requestId: String,
    val target: String,
    val connection: Int,
    val position: Int,
    val startedMs: Long,
    val endedMs: Long?,
    val end: String,
)

/** What was done to a daemon's process. */
enum class DaemonEventKind { STARTED, TERM, HUP, KILL, KILL_AFTER_GRACE, PAUSE, CONTINUE, EXITED }

/** Something that was done to the process of [daemon], in its [start] (1 is the first). */
data class DaemonEvent(
    val daemon: String,
    val start: Int,
    val kind: DaemonEventKind,
    val atMs: Long,
    val exitCode: Int? = null,
)

/** [daemon] answered the platform's question whether it is ready with another status than 200. */
data class UnreadyAnswer(
    val daemon: String,
    val start: Int,
    val atMs: Long,
)

/** A change of the configuration, or a disruption of the store. */
data class StoreEvent(
    val kind: FaultKind,
    val fromMs: Long,
    val toMs: Long,
    val detail: String = "",
)

/** The bounds of the deployment. */
data class Bounds(
    val graceMs: Long = 8_000,
    val stableWindowMs: Long = 3_000,
    val lossSlackMs: Long = 200,
    val configApplyMs: Long = 2_000,
    val stallMs: Long = 5_000,
    val recoveryMs: Long = 12_000,
)

/** All that was recorded in a run; [groupEvents] in their order, [modelSizes] are the members of a group by model. */
data class Recording(
    val bounds: Bounds,
    val calls: List<Call>,
    val unaskedBytes: List<UnaskedBytes> = emptyList(),
    val runs: List<Run> = emptyList(),
    val passages: List<Passage> = emptyList(),
    val faults: List<InjectedFault> = emptyList(),
    val daemonEvents: List<DaemonEvent> = emptyList(),
    val storeEvents: List<StoreEvent> = emptyList(),
    val groupEvents: List<GroupEvent> = emptyList(),
    val modelSizes: Map<String, Int> = emptyMap(),
    val unreadyAnswers: List<UnreadyAnswer> = emptyList(),
)
