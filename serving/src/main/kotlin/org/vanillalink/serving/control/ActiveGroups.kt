/*
 * The groups of a failure domain that are open or being formed, as the planner counts them.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState

internal data class ActiveGroup(
    val key: GroupKey,
    val fabricDomain: String?,
    val model: String,
    val size: Int,
    /** Whether the registry lists it as open and no step of its formation is left. */
    val isEstablished: Boolean,
    /** Whether it takes requests. */
    val isOpen: Boolean = isEstablished,
)

internal class ActiveGroups(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    private val groups: MutableList<ActiveGroup> = (forming() + open()).toMutableList()

    val all: List<ActiveGroup> get() = groups

    fun add(group: ActiveGroup) {
        groups += group
    }

    fun count(model: String): Int = groups.count { it.model == model }

    fun count(
        domain: String?,
        model: String,
    ): Int = groups.count { it.fabricDomain == domain && it.model == model }

    /**
     * Whether [domain] has no group of [model] and keeps targets for one: as long as the failure domain has few groups
     * of the model, or if one takes only a small part of the fabric domain.
     */
    fun needsFirst(
        domain: String?,
        model: ModelDefinition,
    ): Boolean {
        if (count(domain, model.name) > 0) return false
        val targets = view.entries.values.count { it.fabricDomain == domain }
        return count(model.name) < cycle.settings.reservedGroups || model.size * SMALL_PARTS <= targets
    }

    fun countByModel(domain: String?): Map<String, Int> =
        groups.filter { it.fabricDomain == domain }.groupingBy { it.model }.eachCount()

    fun countByModel(): Map<String, Int> = groups.groupingBy { it.model }.eachCount()

    private fun forming(): List<ActiveGroup> = cycle.state.formations.values.map {
        val isOpen = it.phase == FormationPhase.OPENED
        ActiveGroup(it.key, it.head.fabricDomain, it.model, it.members.size, isEstablished = false, isOpen)
    }

    private fun open(): List<ActiveGroup> = cycle.state.rosters.mapNotNull { (key, roster) ->
        val head = roster.head?.takeIf { it.membership?.state == MemberState.OPEN } ?: return@mapNotNull null
        if (cycle.isDissolved(key) || key in cycle.state.formations) return@mapNotNull null
        val size = view.engine.groupSize(head.model) ?: 0
        ActiveGroup(key, head.fabricDomain, head.model.orEmpty(), size, isEstablished = true)
    }

    private companion object {
        const val SMALL_PARTS = 4
    }
}

internal fun GroupControlCycle.isDissolved(key: GroupKey) = key in state.dissolutions || key in state.dissolvedAt

/** Whether [roster] is that of a group that was never ordered to open. */
internal fun GroupControlCycle.hasNotOpened(
    key: GroupKey,
    roster: Roster,
): Boolean {
    val head = roster.head ?: return false
    val serves = head.membership?.state == MemberState.OPEN || head.membership?.state == MemberState.CLOSING
    return !serves && !canOpen(key, head)
}
