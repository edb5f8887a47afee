/*
 * Selects which groups to form from free targets, and which models free hosts keep staged.
 *
 * Each fabric domain first gets one group of each model, starting with the model with the largest shortfall. Further
 * groups are formed only if a reserve of free targets remains, or for a model whose groups can't serve the demand. The
 * reserve makes repairs fast: a spare that has the model staged replaces a lost member in a fraction of the time of a
 * load from the weight store.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.MemberState
import org.vanillalink.serving.targets.TargetEntry

internal class GroupPlanner(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    private class ActiveGroup(
        val fabricDomain: String?,
        val model: String,
        val members: Int,
    )

    private val activeGroups: MutableList<ActiveGroup> = findActiveGroups().toMutableList()
    private val shares = DemandShares(view.engine, view.demand)

    fun apply() {
        refillLoadTokens()
        val free = freeTargets().groupBy { it.fabricDomain }
        free.toSortedMap(compareBy { it.orEmpty() }).forEach { (domain, targets) -> planFabricDomain(domain, targets) }
    }

    private fun planFabricDomain(
        domain: String?,
        targets: List<TargetEntry>,
    ) {
        val free = formGroups(domain, targets)
        if (!view.hasTraffic && cycle.now - cycle.state.newTargetAt < cycle.settings.settlingMilliseconds) return
        stageSpares(domain, free)
        sendStandbyOrders(free)
    }

    /** Forms as many groups as possible from [targets], and returns the remaining targets. */
    private fun formGroups(
        domain: String?,
        targets: List<TargetEntry>,
    ): List<TargetEntry> {
        val model = nextModel(domain, targets.size) ?: return targets
        val members = chooseMembers(targets, model) ?: return targets
        // Uses count() instead of any(), so that reports are requested from all members at once.
        if (members.count { !cycle.isConfirmedFree(it) } > 0) return targets
        startFormation(members, model)
        activeGroups += ActiveGroup(domain, model.name, model.size)
        return formGroups(domain, targets - members.toSet())
    }

    /**
     * Whether [target] holds [model] in memory in a group that isn't dissolved. A target that has just left its group
     * is ordered to stand by, too: the higher epoch makes it refuse delayed orders of its previous group.
     */
    private fun isOnStandby(
        target: TargetEntry,
        model: ModelDefinition,
    ): Boolean {
        val key = target.membership?.key
        return target.model == model.name && key != null && key !in cycle.state.dissolvedAt &&
            !cycle.hasLeft(target.id, key)
    }

    /** A spare with its model in memory joins a group in a fraction of the time that it needs with the model staged. */
    private fun sendStandbyOrders(free: List<TargetEntry>) {
        free.forEach { target ->
            val model = view.engine.models.firstOrNull { it.name in target.staged } ?: return@forEach
            val isInProgress = target.id in cycle.state.standby || target.id in cycle.state.staging
            if (isInProgress || isOnStandby(target, model) || !cycle.isConfirmedFree(target)) return@forEach
            val epoch = cycle.allocateEpoch()
            val key = StandbyGroups.key(view.failureDomain, epoch)
            val standby = Staging(model.name, cycle.now + STANDBY_RESEND_MILLISECONDS)
            cycle.state = cycle.state.copy(standby = cycle.state.standby + (target.id to standby))
            cycle.send(target, GroupOrder.Join(key, model.name, listOf(target.id)))
        }
    }

    private fun nextModel(
        domain: String?,
        free: Int,
    ): ModelDefinition? = view.engine.models
        .filter { model ->
            val isFirst = activeGroups.none { it.fabricDomain == domain && it.model == model.name }
            val needsReserve = !isFirst && !isUnderCapacity(model)
            free >= if (needsReserve) model.size + cycle.settings.reservePerFabricDomain else model.size
        }.maxByOrNull(::memberShortfall)

    private fun isUnderCapacity(model: ModelDefinition): Boolean =
        shares.isUnderCapacity(model, activeGroups.count { it.model == model.name })

    /** The number of members that [model] lacks to reach its share of all group members; negative if it has more. */
    private fun memberShortfall(model: ModelDefinition): Double {
        val total = activeGroups.sumOf { it.members } + model.size
        return shares.memberShare(model) * total - activeGroups.filter { it.model == model.name }.sumOf { it.members }
    }

    /** Returns the members that would be ready first, or null if the model should be staged first. */
    private fun chooseMembers(
        free: List<TargetEntry>,
        model: ModelDefinition,
    ): List<TargetEntry>? {
        val chosen = free.sortedWith(compareBy({ readinessRank(it, model.name) }, { it.id })).take(model.size)
        val loadCount = chosen.count { readinessRank(it, model.name) > STAGED }
        if (loadCount == 0 || !view.hasTraffic) return chosen
        // The remaining members of a group that is being dissolved are ready much sooner than a load would be.
        val survivorsExpected =
            cycle.state.dissolutions.values.any { group ->
                val isInDomain = group.head.fabricDomain == free.first().fabricDomain
                isInDomain && !cycle.isReleased(group)
            }
        if (survivorsExpected) return null
        val isUnserved = activeGroups.none { it.model == model.name }
        if (!isUnserved || !acquireLoadTokens(loadCount)) return null
        return chosen
    }

    private fun readinessRank(
        target: TargetEntry,
        model: String,
    ): Int = when {
        target.model == model && model in target.staged -> IN_MEMORY
        model in target.staged -> STAGED
        cycle.state.staging[target.id]?.model == model -> STAGING
        target.staged.isEmpty() -> EMPTY
        else -> OTHER_MODEL
    }

    private fun startFormation(
        members: List<TargetEntry>,
        model: ModelDefinition,
    ) {
        val epoch = cycle.allocateEpoch()
        val key = GroupKey("${view.failureDomain}-${model.name}-$epoch", epoch)
        val expected = members.maxOf { expectedMilliseconds(it, model) }
        val maxWait = if (view.hasTraffic) expected else expected * FIRST_LOAD_CONTENTION_FACTOR
        cycle.saveFormation(
            Formation(
                key = key,
                model = model.name,
                members = members,
                phase = FormationPhase.JOINING,
                startedAt = cycle.now,
                expectedReadyAt = cycle.now + expected,
                abandonAt = cycle.now + maxWait + cycle.settings.formationGraceMilliseconds,
            ),
        )
        cycle.log(
            "group-forming",
            "group" to key.group,
            "epoch" to epoch,
            "model" to model.name,
            "members" to members.joinToString(",") { it.id.value },
            "expectedMs" to expected,
        )
        members.forEach { member ->
            cycle.send(member, GroupOrder.Join(key, model.name, members.map { it.id }))
        }
        val sentAt = members.associate { it.id to cycle.now }
        cycle.saveFormation(
            cycle.state.formations
                .getValue(key)
                .copy(lastSentAt = sentAt),
        )
    }

    private fun expectedMilliseconds(
        member: TargetEntry,
        model: ModelDefinition,
    ): Long = when (readinessRank(member, model.name)) {
        IN_MEMORY -> cycle.settings.rejoinMilliseconds
        STAGED -> model.stagedLoadMilliseconds
        else -> if (view.hasTraffic) model.loadMilliseconds else model.loadMilliseconds / FIRST_LOAD_SPEEDUP
    }

    private fun stageSpares(
        domain: String?,
        free: List<TargetEntry>,
    ) {
        val models = view.engine.models.map { it.copy(share = shares.memberShare(it)) }
        val underCapacity = models.filter(::isUnderCapacity).map { it.name }.toSet()
        val spares =
            SpareModelSelector(
                models,
                free.map(::stagedModel),
                groupsInFabricDomain(domain),
                groupsInFailureDomain(),
                underCapacity,
            )
        free.filter { it.id !in cycle.state.staging }.forEach { target ->
            val current = stagedModel(target)
            val model = spares.nextModel(current) ?: return@forEach
            if (view.hasTraffic && !acquireLoadTokens(1)) return
            val until = cycle.now + model.loadMilliseconds + cycle.settings.formationGraceMilliseconds
            cycle.state = cycle.state.copy(staging = cycle.state.staging + (target.id to Staging(model.name, until)))
            cycle.log("model-staging", "target" to target.id, "model" to model.name, "instead" to current)
            cycle.send(target, GroupOrder.Stage(model.name))
            spares.recordReplacement(current, model.name)
        }
    }

    /** The model that [target] has staged, or will have once its load completes. */
    private fun stagedModel(target: TargetEntry): String? = cycle.state.staging[target.id]?.model
        ?: target.staged.firstOrNull { name -> view.engine.models.any { it.name == name } }

    private fun groupsInFabricDomain(domain: String?): Map<String, Int> =
        activeGroups.filter { it.fabricDomain == domain }.groupingBy { it.model }.eachCount()

    private fun groupsInFailureDomain(): Map<String, Int> = activeGroups.groupingBy { it.model }.eachCount()

    private fun findActiveGroups(): List<ActiveGroup> {
        val forming =
            cycle.state.formations.values.map {
                ActiveGroup(
                    it.head.fabricDomain,
                    it.model,
                    it.members.size,
                )
            }
        val open =
            cycle.state.rosters.filter { (key, roster) ->
                roster.head?.membership?.state == MemberState.OPEN && !isDissolved(key) &&
                    key !in cycle.state.formations
            }
        return forming +
            open.values.mapNotNull { it.head }.map { head ->
                ActiveGroup(head.fabricDomain, head.model.orEmpty(), view.engine.groupSize(head.model) ?: 0)
            }
    }

    private fun isDissolved(key: GroupKey) = key in cycle.state.dissolutions || key in cycle.state.dissolvedAt

    private fun freeTargets(): List<TargetEntry> {
        val usedTargets = cycle.targetsInUse()
        return view.entries.values.filter { entry ->
            val isUsable =
                !entry.isLeaving && entry.instance !in cycle.state.failed && !cycle.hasFailedConfirmation(entry)
            isUsable && entry.id !in usedTargets && isUnused(entry)
        }
    }

    /**
     * Members are unused once they or their group's head have confirmed that they left; members of a group that never
     * opened always are.
     */
    private fun isUnused(entry: TargetEntry): Boolean {
        val key = entry.membership?.key
        return when {
            key == null || key in cycle.state.dissolvedAt || cycle.isFreed(entry.id, key) -> true
            key in cycle.state.dissolutions -> false
            else -> cycle.state.rosters[key]?.let { hasNotOpened(key, it) } ?: true
        }
    }

    private fun hasNotOpened(
        key: GroupKey,
        roster: Roster,
    ): Boolean {
        val head = roster.head ?: return false
        val serves = head.membership?.state == MemberState.OPEN || head.membership?.state == MemberState.CLOSING
        return !serves && !cycle.canOpen(key, head)
    }

    private fun refillLoadTokens() {
        val tokensPerSecond = view.engine.loadsPerSecond / view.failureDomainCount
        val elapsed = cycle.now - cycle.state.loadTokensFilledAt
        val tokens = cycle.state.loadTokens + tokensPerSecond * elapsed / MILLISECONDS_PER_SECOND
        cycle.state = cycle.state.copy(loadTokens = minOf(tokens, MAX_LOAD_TOKENS), loadTokensFilledAt = cycle.now)
    }

    private fun acquireLoadTokens(count: Int): Boolean {
        if (cycle.state.loadTokens < count) return false
        cycle.state = cycle.state.copy(loadTokens = cycle.state.loadTokens - count)
        return true
    }

    private companion object {
        const val IN_MEMORY = 0
        const val STAGED = 1
        const val STAGING = 2
        const val EMPTY = 3
        const val OTHER_MODEL = 4

        /** Time until the order is sent again to a target that doesn't hold its model by then. */
        const val STANDBY_RESEND_MILLISECONDS = 10_000L
        const val FIRST_LOAD_SPEEDUP = 10
        const val MILLISECONDS_PER_SECOND = 1_000.0

        /** All first loads of a fleet run concurrently, so each takes longer than a single one. */
        const val FIRST_LOAD_CONTENTION_FACTOR = 12

        /** Loads that may start together after an idle time; well below the store's limit per window. */
        const val MAX_LOAD_TOKENS = 4.0
    }
}
