/*
 * Chooses which groups to form from free targets, and which models free hosts keep ready.
 *
 * Each fabric domain gets one group of each model first, the model with the greatest lack first; more groups only
 * beyond a reserve, or of a model whose groups can't take what callers ask for. The reserve is what makes repairs fast:
 * a spare that has the right model stands in for a lost member within a fraction of a load from the weight store.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupPlan(
    private val work: GroupWork,
    private val view: DomainView,
) {
    private class StandingGroup(
        val fabricDomain: String?,
        val model: String,
        val members: Int,
    )

    private val standing: MutableList<StandingGroup> = standingGroups().toMutableList()
    private val shares = DemandShares(view.engine, view.demand)

    fun apply() {
        fillAllowance()
        val free = freeTargets().groupBy { it.fabricDomain }
        free.toSortedMap(compareBy { it.orEmpty() }).forEach { (domain, targets) -> planFabricDomain(domain, targets) }
    }

    private fun planFabricDomain(
        domain: String?,
        targets: List<TargetEntry>,
    ) {
        val free = formGroups(domain, targets)
        if (!view.trafficSeen && work.now - work.state.lastNewAt < work.settings.settledMilliseconds) return
        stage(domain, free)
        standBy(free)
    }

    /** Forms what can be formed of [targets], and gives those that are left. */
    private fun formGroups(
        domain: String?,
        targets: List<TargetEntry>,
    ): List<TargetEntry> {
        val model = nextModel(domain, targets.size) ?: return targets
        val members = choose(targets, model) ?: return targets
        // Goes through all of them, so that they are asked together and not one after the other.
        if (members.count { !work.isVouched(it) } > 0) return targets
        form(members, model)
        standing += StandingGroup(domain, model.name, model.size)
        return formGroups(domain, targets - members.toSet())
    }

    /**
     * Whether [target] holds [model] in memory in a group that stands. One that has just left its group is told to
     * stand by as well: the greater epoch keeps it from orders of its former group that come late.
     */
    private fun isStandingBy(
        target: TargetEntry,
        model: ModelDefinition,
    ): Boolean {
        val key = target.membership?.key
        return target.model == model.name && key != null && key !in work.state.dissolved
    }

    /** A spare that holds its model in memory joins a group in a fraction of the time that one needs that doesn't. */
    private fun standBy(free: List<TargetEntry>) {
        free.forEach { target ->
            val model = view.engine.models.firstOrNull { it.name in target.staged } ?: return@forEach
            val isOnItsWay = target.id in work.state.standby || target.id in work.state.staging
            if (isOnItsWay || isStandingBy(target, model) || !work.isVouched(target)) return@forEach
            val epoch = work.nextEpoch()
            val key = StandbyGroups.key(view.failureDomain, epoch)
            val standby = Staging(model.name, work.now + STANDBY_AGAIN_MILLISECONDS)
            work.state = work.state.copy(standby = work.state.standby + (target.id to standby))
            work.send(target, GroupOrder.Join(key, model.name, listOf(target.id)))
        }
    }

    private fun nextModel(
        domain: String?,
        free: Int,
    ): ModelDefinition? = view.engine.models
        .filter { model ->
            val isFirst = standing.none { it.fabricDomain == domain && it.model == model.name }
            val needsReserve = !isFirst && !isShort(model)
            free >= if (needsReserve) model.size + work.settings.reservePerFabricDomain else model.size
        }.maxByOrNull(::lack)

    private fun isShort(model: ModelDefinition): Boolean =
        shares.isShort(model, standing.count { it.model == model.name })

    /** How far [model] is from its share of all members in groups; positive where it has too few. */
    private fun lack(model: ModelDefinition): Double {
        val total = standing.sumOf { it.members } + model.size
        return shares.of(model) * total - standing.filter { it.model == model.name }.sumOf { it.members }
    }

    /** The members that would be ready soonest, or null where the model should first be staged. */
    private fun choose(
        free: List<TargetEntry>,
        model: ModelDefinition,
    ): List<TargetEntry>? {
        val chosen = free.sortedWith(compareBy({ readiness(it, model.name) }, { it.id })).take(model.size)
        val cold = chosen.count { readiness(it, model.name) > STAGED }
        if (cold == 0 || !view.trafficSeen) return chosen
        // The survivors of a group that is being taken apart are ready far sooner than a load.
        val survivorsComing =
            work.state.dissolutions.values
                .any { it.head.fabricDomain == free.first().fabricDomain }
        if (survivorsComing) return null
        val nobodyServes = standing.none { it.model == model.name }
        if (!nobodyServes || !takeLoads(cold)) return null
        return chosen
    }

    private fun readiness(
        target: TargetEntry,
        model: String,
    ): Int = when {
        target.model == model && model in target.staged -> IN_MEMORY
        model in target.staged -> STAGED
        work.state.staging[target.id]?.model == model -> STAGING
        target.staged.isEmpty() -> EMPTY
        else -> OTHER_MODEL
    }

    private fun form(
        members: List<TargetEntry>,
        model: ModelDefinition,
    ) {
        val epoch = work.nextEpoch()
        val key = GroupKey("${view.failureDomain}-${model.name}-$epoch", epoch)
        val expected = members.maxOf { expectedMilliseconds(it, model) }
        val waiting = if (view.trafficSeen) expected else expected * FIRST_LOADS_SHARE_THE_STORE
        work.update(
            Formation(
                key = key,
                model = model.name,
                members = members,
                phase = FormationPhase.JOINING,
                startedAt = work.now,
                expectedReadyAt = work.now + expected,
                giveUpAt = work.now + waiting + work.settings.formationSlackMilliseconds,
            ),
        )
        work.note(
            "group-forming",
            "group" to key.group,
            "epoch" to epoch,
            "model" to model.name,
            "members" to members.joinToString(",") { it.id.value },
            "expectedMs" to expected,
        )
        members.forEach { member ->
            work.send(member, GroupOrder.Join(key, model.name, members.map { it.id }))
        }
        val sent = members.associate { it.id to work.now }
        work.update(
            work.state.formations
                .getValue(key)
                .copy(lastSentAt = sent),
        )
    }

    private fun expectedMilliseconds(
        member: TargetEntry,
        model: ModelDefinition,
    ): Long = when (readiness(member, model.name)) {
        IN_MEMORY -> work.settings.rejoinMilliseconds
        STAGED -> model.stagedLoadMilliseconds
        else -> if (view.trafficSeen) model.loadMilliseconds else model.loadMilliseconds / FIRST_LOADS_ARE_FASTER
    }

    private fun stage(
        domain: String?,
        free: List<TargetEntry>,
    ) {
        val models = view.engine.models.map { it.copy(share = shares.of(it)) }
        val short = models.filter(::isShort).map { it.name }.toSet()
        val spares = SpareChoice(models, free.map(::stagedModel), groupsIn(domain), groupsEverywhere(), short)
        free.filter { it.id !in work.state.staging }.forEach { target ->
            val current = stagedModel(target)
            val model = spares.next(current) ?: return@forEach
            if (view.trafficSeen && !takeLoads(1)) return
            val until = work.now + model.loadMilliseconds + work.settings.formationSlackMilliseconds
            work.state = work.state.copy(staging = work.state.staging + (target.id to Staging(model.name, until)))
            work.note("model-staging", "target" to target.id, "model" to model.name, "instead" to current)
            work.send(target, GroupOrder.Stage(model.name))
            spares.replaced(current, model.name)
        }
    }

    /** The model that [target] will hold ready once what it loads has arrived. */
    private fun stagedModel(target: TargetEntry): String? = work.state.staging[target.id]?.model
        ?: target.staged.firstOrNull { name -> view.engine.models.any { it.name == name } }

    private fun groupsIn(domain: String?): Map<String, Int> =
        standing.filter { it.fabricDomain == domain }.groupingBy { it.model }.eachCount()

    private fun groupsEverywhere(): Map<String, Int> = standing.groupingBy { it.model }.eachCount()

    private fun standingGroups(): List<StandingGroup> {
        val forming =
            work.state.formations.values.map {
                StandingGroup(
                    it.head.fabricDomain,
                    it.model,
                    it.members.size,
                )
            }
        val open =
            work.state.rosters.filter { (key, roster) ->
                roster.head?.membership?.state == MemberState.OPEN && !isOver(key) && key !in work.state.formations
            }
        return forming +
            open.values.mapNotNull { it.head }.map { head ->
                StandingGroup(head.fabricDomain, head.model.orEmpty(), view.engine.groupSize(head.model) ?: 0)
            }
    }

    private fun isOver(key: GroupKey) = key in work.state.dissolutions || key in work.state.dissolved

    private fun freeTargets(): List<TargetEntry> {
        val forming =
            work.state.formations.values
                .flatMap { it.members }
                .map { it.id }
        val leaving =
            work.state.dissolutions.values
                .flatMap { it.members }
        val taken = (forming + leaving).toSet()
        return view.entries.values.filter { entry ->
            val isSound = !entry.isLeaving && entry.instance !in work.state.silent && !work.isDoubted(entry)
            isSound && entry.id !in taken && isUnused(entry)
        }
    }

    /** Members are unused once their group's head serves no more; members of a group that never opened always are. */
    private fun isUnused(entry: TargetEntry): Boolean {
        val key = entry.membership?.key
        return when {
            key == null || key in work.state.dissolved -> true
            key in work.state.dissolutions -> false
            else -> work.state.rosters[key]?.let { isReleased(key, it) } ?: true
        }
    }

    private fun isReleased(
        key: GroupKey,
        roster: Roster,
    ): Boolean {
        val head = roster.head ?: return work.now - roster.firstSeenAt > work.settings.unknownHeadMilliseconds
        val serves = head.membership?.state == MemberState.OPEN || head.membership?.state == MemberState.CLOSING
        return !serves && !work.mayStillOpen(key, head)
    }

    private fun fillAllowance() {
        val perSecond = view.engine.loadsPerSecond / view.failureDomains
        val elapsed = work.now - work.state.loadAllowanceAt
        val filled = work.state.loadAllowance + perSecond * elapsed / MILLISECONDS_PER_SECOND
        work.state = work.state.copy(loadAllowance = minOf(filled, LOAD_BURST), loadAllowanceAt = work.now)
    }

    private fun takeLoads(count: Int): Boolean {
        if (work.state.loadAllowance < count) return false
        work.state = work.state.copy(loadAllowance = work.state.loadAllowance - count)
        return true
    }

    private companion object {
        const val IN_MEMORY = 0
        const val STAGED = 1
        const val STAGING = 2
        const val EMPTY = 3
        const val OTHER_MODEL = 4

        /** A target that doesn't hold its model by then is told once more. */
        const val STANDBY_AGAIN_MILLISECONDS = 10_000L
        const val FIRST_LOADS_ARE_FASTER = 10
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** All of a fleet's first loads run side by side, so each takes longer than by itself. */
        const val FIRST_LOADS_SHARE_THE_STORE = 12

        /** Loads that may begin together after a pause; well under what the store allows in its window. */
        const val LOAD_BURST = 4.0
    }
}
