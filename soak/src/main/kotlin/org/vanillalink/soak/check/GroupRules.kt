/*
 * TWO and PARTIAL: who is a member of which group, and which groups requests run in.
 */
package org.vanillalink.soak.check

import org.vanillalink.soak.record.GroupEvent
import org.vanillalink.soak.record.Run
import org.vanillalink.standins.runner.GroupChangeKind
import org.vanillalink.standins.runner.GroupIdentity

/** The rules on groups, from what targets did. */
internal class GroupRules(
    private val index: RecordingIndex,
) {
    private val events = index.recording.groupEvents
    private val eventsByTarget = events.groupBy { it.target }
    private val readyTimes = findReadyTimes()

    fun findings(): List<Finding> = two() + partial()

    /** The state of a target's membership in [group]. */
    private data class Standing(
        val group: GroupIdentity,
        val openFromMs: Long? = null,
        val isClosing: Boolean = false,
    ) {
        fun serves(atMs: Long) = isClosing || (openFromMs != null && openFromMs <= atMs)
    }

    private fun two(): List<Finding> {
        val standings = mutableMapOf<String, Standing>()
        val incompleteFromMs = mutableMapOf<GroupIdentity, Long>()
        return events.mapNotNull { event ->
            val current = standings[event.target]
            val finding = current?.let { join(event, it, standings, incompleteFromMs) }
            val next = advance(event)
            if (current != null && current.group != next?.group) {
                incompleteFromMs.putIfAbsent(current.group, event.atMs)
            }
            if (next == null) standings.remove(event.target) else standings[event.target] = next
            finding
        }
    }

    private fun join(
        event: GroupEvent,
        own: Standing,
        standings: Map<String, Standing>,
        incompleteFromMs: Map<GroupIdentity, Long>,
    ): Finding? {
        if (event.change.kind != GroupChangeKind.JOINED || event.change.group == own.group) return null
        val head = own.group.members.first()
        val ofHead = standings[head]?.takeIf { it.group == own.group && it.serves(event.atMs) } ?: return null
        if (isBroken(ofHead, incompleteFromMs[own.group], event.atMs)) return null
        return Finding(
            "TWO",
            event.atMs,
            null,
            event.target,
            null,
            "joined another group while its own ${if (ofHead.isClosing) "was closing" else "was open"}",
            "joined=${event.change.group} own=${own.group} target=[${describe(event.target, event.atMs)}] " +
                "head=[${describe(head, event.atMs)}]",
        )
    }

    /** A head that has lost a member stands still for a time, in which it holds the others, and then is broken. */
    private fun isBroken(
        head: Standing,
        incompleteFromMs: Long?,
        atMs: Long,
    ): Boolean {
        val stallsFromMs = maxOf(incompleteFromMs ?: return false, head.openFromMs ?: 0)
        return atMs >= stallsFromMs + index.bounds.stallMs
    }

    private fun advance(event: GroupEvent): Standing? = when (event.change.kind) {
        GroupChangeKind.JOINED, GroupChangeKind.CLOSED -> Standing(event.change.group)
        GroupChangeKind.OPENED -> Standing(event.change.group, event.effectiveMs)
        GroupChangeKind.CLOSING -> Standing(event.change.group, isClosing = true)
        GroupChangeKind.LEFT, GroupChangeKind.ENDED -> null
    }

    private fun partial(): List<Finding> = index.recording.runs.mapNotNull { run ->
        val group = run.group ?: return@mapNotNull null
        val what = incompleteness(run, group) ?: return@mapNotNull null
        val call = index.calls[run.requestId]
        val unready = group.members.filter { !wasReady(it, group, run.atMs) }
        val members = unready.joinToString { "$it: ${describe(it, run.atMs)}" }
        val history = "group=$group unready=[$members] ${call?.let(index::historyOf).orEmpty()}"
        Finding("PARTIAL", run.atMs, call?.path?.daemon, run.target, run.requestId, what, history)
    }

    private fun incompleteness(
        run: Run,
        group: GroupIdentity,
    ): String? {
        val size = index.recording.modelSizes[group.model]
        return when {
            group.members.distinct().size != size -> "ran in a group of ${group.members.size} instead of $size members"
            group.members.any { !wasReady(it, group, run.atMs) } -> "ran in a group with a member that was never ready"
            else -> null
        }
    }

    private fun wasReady(
        target: String,
        group: GroupIdentity,
        atMs: Long,
    ): Boolean = readyTimes[target to group]?.let { it <= atMs } ?: false

    /** When each target was first ready in each group that it joined and was still a member of by then. */
    private fun findReadyTimes(): Map<Pair<String, GroupIdentity>, Long> {
        val times = mutableMapOf<Pair<String, GroupIdentity>, Long>()
        eventsByTarget.forEach { (target, ofTarget) ->
            ofTarget.forEachIndexed { position, event ->
                if (event.change.kind != GroupChangeKind.JOINED) return@forEachIndexed
                val end = ofTarget.drop(position + 1).firstOrNull { it.change.kind in ENDS }
                val isReached = end == null || end.atMs >= event.effectiveMs
                if (isReached) times.putIfAbsent(target to event.change.group, event.effectiveMs)
            }
        }
        return times
    }

    private fun describe(
        target: String,
        atMs: Long,
    ): String = eventsByTarget[target].orEmpty().filter { it.atMs <= atMs }.takeLast(SHOWN).joinToString(" ") {
        "${it.change.kind}@${it.atMs}:${it.change.group.name}"
    }

    private companion object {
        const val SHOWN = 6

        /** After these the target is no longer a member of the group that it was in before. */
        val ENDS = setOf(GroupChangeKind.JOINED, GroupChangeKind.LEFT, GroupChangeKind.ENDED)
    }
}
