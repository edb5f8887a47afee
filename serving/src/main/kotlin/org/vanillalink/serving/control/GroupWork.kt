/*
 * The state under one event, with the decisions taken so far.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupWork(
    var state: GroupControlState,
    val settings: GroupControlSettings,
    val now: Long,
) {
    val decisions = mutableListOf<GroupDecision>()

    fun send(
        target: TargetEntry,
        order: GroupOrder,
    ) {
        decisions += GroupDecision.Send(target, order)
    }

    fun ask(target: TargetEntry) {
        state = state.copy(askedAt = state.askedAt + (target.id to now))
        decisions += GroupDecision.AskReport(target)
    }

    fun note(
        event: String,
        vararg fields: Pair<String, Any?>,
    ) {
        decisions += GroupDecision.Note(event, fields.toMap())
    }

    fun nextEpoch(): Long {
        val epoch = state.nextEpoch
        state = state.copy(nextEpoch = epoch + 1)
        return epoch
    }

    /** The members of [key] as last seen by a tick. */
    fun members(key: GroupKey): List<TargetEntry> = membersByKey[key] ?: lastMembers(key)

    fun dissolve(
        key: GroupKey,
        head: TargetEntry,
        reason: String,
        isGentle: Boolean,
    ) {
        if (key in state.dissolutions || key in state.dissolved) return
        note("group-dissolving", "group" to key.group, "epoch" to key.epoch, "reason" to reason, "gentle" to isGentle)
        val dissolution = Dissolution(key, head, reason, now, isGentle)
        state = state.copy(dissolutions = state.dissolutions + (key to dissolution))
    }

    fun dissolved(key: GroupKey) {
        val after = state.dissolutions[key]?.let { now - it.startedAt }
        note("group-dissolved", "group" to key.group, "epoch" to key.epoch, "afterMs" to after)
        state = state.copy(dissolutions = state.dissolutions - key, dissolved = state.dissolved + (key to now))
    }

    fun update(formation: Formation) {
        state = state.copy(formations = state.formations + (formation.key to formation))
    }

    fun drop(formation: Formation) {
        state = state.copy(formations = state.formations - formation.key)
    }

    /** Whether somebody else may have told [head] to open the group [key]. */
    fun mayStillOpen(
        key: GroupKey,
        head: TargetEntry,
    ): Boolean {
        if (key.epoch >= state.firstEpoch || StandbyGroups.isStandby(key)) return false
        return head.membership?.state == MemberState.READY || head.membership?.state == MemberState.JOINING
    }

    /** Drops what has no more use. */
    fun forget(view: DomainView) {
        val oldest = now - settings.rememberMilliseconds
        val listed = view.entries.values
        val runs = listed.map { it.run }.toSet()
        val inGroups = listed.mapNotNull { entry -> entry.membership?.let { GroupKey(it.group, it.epoch) to entry } }
        val heads = inGroups.filter { it.second.membership?.rank == 0 }.toMap()
        val present = inGroups.map { it.first }.toSet()
        state =
            state.copy(
                dissolved = state.dissolved.filter { (key, at) -> at > oldest || key in present },
                silent = state.silent.filterKeys { it in runs },
                unanswered = state.unanswered.filterKeys { it in runs },
                standby = state.standby.filter { (id, standby) -> id in view.entries && standby.until > now },
                known = view.entries.keys,
                lastNewAt = if (state.known.containsAll(view.entries.keys)) state.lastNewAt else now,
                askedAt = state.askedAt.filterValues { it > oldest },
                staging = state.staging.filter { (id, staging) -> isUnderWay(view.entries[id], staging) },
                lastHeads = state.lastHeads.filterKeys { it in present } + heads,
                lastMembers = inGroups.groupBy({ it.first }, { it.second }),
            )
    }

    private fun isUnderWay(
        entry: TargetEntry?,
        staging: Staging,
    ): Boolean = entry != null && staging.model !in entry.staged && staging.until > now

    private val membersByKey: Map<GroupKey, List<TargetEntry>>
        get() = state.formations.mapValues { it.value.members }

    private fun lastMembers(key: GroupKey): List<TargetEntry> = state.lastMembers[key].orEmpty()
}
