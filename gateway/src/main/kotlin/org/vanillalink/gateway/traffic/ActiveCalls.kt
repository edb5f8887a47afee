/*
 * Calls with an attempt under way, by target, so that they can be told when their group has broken.
 */
package org.vanillalink.gateway.traffic

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.GroupKey

/** Touched on the traffic thread only. */
internal class ActiveCalls {
    private val calls = HashSet<ProxiedCall>()

    /** How many calls have no final answer yet. */
    val count: Int get() = calls.size

    fun add(call: ProxiedCall) {
        calls.add(call)
    }

    fun remove(call: ProxiedCall) {
        calls.remove(call)
    }

    /** Tells all calls at a group of [brokenGroups] to go elsewhere. */
    fun failOverFromGroups(brokenGroups: Set<GroupKey>) {
        if (brokenGroups.isEmpty()) return
        calls.filter { it.currentGroup in brokenGroups }.forEach { it.failOver("group-broken") }
    }

    /** Tells calls at groups whose heads are [targets] to go elsewhere. */
    fun failOverFromTargets(
        targets: Set<HostId>,
        reason: String,
    ) {
        if (targets.isEmpty()) return
        calls.filter { it.currentTarget in targets && it.currentGroup != null }.forEach { it.failOver(reason) }
    }

    /** Groups of calls at [targets]. */
    fun groupsWithCallsAt(targets: Set<HostId>): Set<GroupKey> =
        calls.filter { it.currentTarget in targets }.mapNotNull { it.currentGroup }.toSet()
}
