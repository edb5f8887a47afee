/*
 * The calls in progress, so that those at a broken or stalled group can fail over.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonRequestDetector
import org.vanillalink.serving.targets.GroupKey

/** Confined to the traffic thread. */
internal class ActiveCalls {
    private val calls = HashSet<ProxiedCall>()

    /** The number of calls without a final response. */
    val count: Int get() = calls.size

    fun add(call: ProxiedCall) {
        calls.add(call)
    }

    fun remove(call: ProxiedCall) {
        calls.remove(call)
    }

    /** Fails over all calls at [brokenGroups]. */
    fun failOverFromGroups(brokenGroups: Set<GroupKey>) {
        if (brokenGroups.isEmpty()) return
        calls.filter { it.currentGroup in brokenGroups }.forEach { it.failOver("group-broken") }
    }

    /** Begins second attempts for calls at groups whose heads are among [targets]. */
    fun hedgeAtTargets(
        targets: Set<HostId>,
        reason: String,
    ) {
        if (targets.isEmpty()) return
        calls.filter { it.currentTarget in targets && it.currentGroup != null }.forEach { it.hedge(reason) }
    }

    /** Begins second attempts for calls whose first event is late by what is predicted. */
    fun hedgeLateCalls() = calls.toList().forEach { call ->
        call.lateReason?.let { call.hedge(it, isPredicted = true) }
    }

    /**
     * Begins second attempts for calls at groups whose heads are among [stalledTargets] and that their controller does
     * not announce any more: it suspects them, too.
     */
    fun hedgeAtSuspectedGroups(
        stalledTargets: Set<HostId>,
        announcedGroups: Set<GroupKey>,
    ) {
        if (stalledTargets.isEmpty()) return
        calls
            .filter {
                it.currentTarget in stalledTargets &&
                    it.currentGroup?.let { key -> key !in announcedGroups } == true
            }.forEach { it.hedge("group-suspected") }
    }

    /** Stops the calls that [detector] blocks and that their targets have not begun to answer. */
    fun stopBlocked(
        detector: PoisonRequestDetector,
        now: Long,
    ) = calls.filter { it.currentTarget != null && detector.findBlock(it.signature, now) != null }.forEach {
        it.stopBlocked()
    }

    /** The groups at [targets] that have calls in progress. */
    fun groupsWithCallsAt(targets: Set<HostId>): Set<GroupKey> =
        calls.filter { it.currentTarget in targets }.mapNotNull { it.currentGroup }.toSet()
}
