/*
 * Selects which groups to form from free targets, and which models free hosts keep staged.
 *
 * Each fabric domain first gets a group of each model that takes a small part of its targets, and of each other model
 * until the failure domain has some; targets are kept for those that can't be formed yet. Further groups are formed
 * only if a reserve of free targets remains, or for a model whose groups can't serve the demand. The reserve makes
 * repairs fast: a spare that has the model staged replaces a lost member in a fraction of the time of a load.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry

internal class GroupPlanner(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    private val groups = ActiveGroups(cycle, view)
    private val shares = DemandShares(view.engine, view.demand)
    private val staging = HostStaging(cycle, view)
    private val donors = GroupDonors(cycle, view, groups, shares, staging)
    private val freeByDomain: Map<String?, List<TargetEntry>> = freeTargets().groupBy { it.fabricDomain }

    fun apply() {
        staging.refillPermits()
        UnservedModels(cycle, view, groups).update()
        GroupReassignment(cycle, view, groups, shares, staging, donors, ::availableTargets).apply()
        // All groups come before any spare, as both need permits to load.
        freeByDomain
            .toSortedMap(compareBy { it.orEmpty() })
            .map { (domain, targets) -> domain to formGroups(domain, targets) }
            .forEach { (domain, free) -> keepSpares(domain, free) }
        // Repairs and their spares come first, as they need the permits more.
        DemandReassignment(cycle, view, groups, shares, staging, donors, ::availableTargets).apply()
    }

    private fun keepSpares(
        domain: String?,
        free: List<TargetEntry>,
    ) {
        if (!view.hasTraffic && cycle.now - cycle.state.newTargetAt < cycle.settings.settlingMilliseconds) return
        stageSpares(domain, free)
        sendStandbyOrders(free)
    }

    /** Forms as many groups as possible from [targets], and returns the remaining targets. */
    private fun formGroups(
        domain: String?,
        targets: List<TargetEntry>,
    ): List<TargetEntry> {
        val (model, members) =
            candidateModels(domain, targets.size)
                .firstNotNullOfOrNull { model -> chooseMembers(targets, model)?.let { model to it } } ?: return targets
        // Uses count() instead of any(), so that reports are requested from all members at once.
        if (members.count { !cycle.isConfirmedFree(it) } > 0) return targets
        startFormation(members, model)
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

    /** The models that [domain] could form a group of from [free] targets; those without a group there come first. */
    private fun candidateModels(
        domain: String?,
        free: Int,
    ): List<ModelDefinition> {
        val missing =
            view.engine.models
                .filter { groups.needsFirst(domain, it) && !isGivenUp(domain, it) }
                .sortedWith(compareBy({ groups.count(it.name) > 0 }, { -memberShortfall(it) }))
        val reservations = ModelReservations(missing, free + survivors(domain).size)
        val awaited = reservations.largestUnattainable?.takeIf { isBeingListed(domain) }
        val others =
            view.engine.models
                .filter { it !in reservations.reserved }
                .sortedByDescending(::memberShortfall)
        return (reservations.reserved + others).filter { model ->
            val needsReserve = !isFirst(domain, model) && !isUnderCapacity(model)
            val needed = if (needsReserve) model.size + cycle.settings.reservePerFabricDomain else model.size
            val available = minOf(free, reservations.availableFor(model) { yields(domain, it, model) })
            available >= needed && (awaited == null || model.size > awaited.size)
        }
    }

    /**
     * Whether [reserved] leaves its targets in [domain] to [model]: other fabric domains serve it well, and [model] is
     * short, or could serve much sooner than most members of [reserved] load.
     */
    private fun yields(
        domain: String?,
        reserved: ModelDefinition,
        model: ModelDefinition,
    ): Boolean {
        if (groups.count(reserved.name) == 0 || isUnderCapacity(reserved)) return false
        val loaded = availableTargets(domain).count { staging.readinessRank(it, reserved.name) <= HostStaging.STAGING }
        return isUnderCapacity(model) || (view.hasTraffic && loaded * 2 < reserved.size)
    }

    /** Whether a group of [model] would be the first one in [domain], and the model has not left it. */
    private fun isFirst(
        domain: String?,
        model: ModelDefinition,
    ): Boolean = groups.count(domain, model.name) == 0 && !isGivenUp(domain, model)

    private fun isGivenUp(
        domain: String?,
        model: ModelDefinition,
    ): Boolean = GivenUpModel(domain, model.name) in cycle.state.demandReassignment.givenUp

    private fun isBeingListed(domain: String?): Boolean {
        if (view.hasTraffic || cycle.now - cycle.state.newTargetAt >= cycle.settings.settlingMilliseconds) return false
        val firstListedAt = cycle.state.firstListedAt[domain] ?: return false
        return cycle.now - firstListedAt < cycle.settings.listingMilliseconds
    }

    /** The targets of [domain] that are free, and those that will be once its groups are dissolved. */
    private fun availableTargets(domain: String?): List<TargetEntry> =
        freeByDomain[domain].orEmpty() + survivors(domain)

    private fun survivors(domain: String?): List<TargetEntry> = cycle.state.dissolutions.values
        .flatMap { group -> group.members.filterNot { cycle.isFreed(it, group.key) } }
        .mapNotNull { view.entries[it] }
        .filter { it.fabricDomain == domain && !it.isLeaving && it.instance !in cycle.state.failed }

    private fun isUnderCapacity(model: ModelDefinition): Boolean =
        shares.isUnderCapacity(model, groups.count(model.name))

    /** The number of members that [model] lacks to reach its share of all group members; negative if it has more. */
    private fun memberShortfall(model: ModelDefinition): Double {
        val total = groups.all.sumOf { it.size } + model.size
        return shares.memberShare(model) * total - groups.all.filter { it.model == model.name }.sumOf { it.size }
    }

    /** Returns the members that would be ready first, or null if the model must be staged first. */
    private fun chooseMembers(
        free: List<TargetEntry>,
        model: ModelDefinition,
    ): List<TargetEntry>? {
        val chosen =
            free.sortedWith(compareBy({ staging.readinessRank(it, model.name) }, { it.id })).take(model.size)
        val areStaged = chosen.all { staging.readinessRank(it, model.name) <= HostStaging.STAGED }
        if (areStaged || !view.hasTraffic) return chosen
        // The remaining members of a group that is being dissolved are ready much sooner than a load would be.
        val survivorsExpected =
            cycle.state.dissolutions.values.any { group ->
                val isInDomain = group.head.fabricDomain == free.first().fabricDomain
                isInDomain && !cycle.isReleased(group)
            }
        if (!survivorsExpected && groups.count(model.name) == 0) staging.stageAll(chosen, model)
        return null
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
        groups.add(ActiveGroup(key, members.first().fabricDomain, model.name, model.size, isEstablished = false))
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
    ): Long = when (staging.readinessRank(member, model.name)) {
        HostStaging.IN_MEMORY -> cycle.settings.rejoinMilliseconds
        HostStaging.STAGED -> model.stagedLoadMilliseconds
        else -> if (view.hasTraffic) model.loadMilliseconds else model.loadMilliseconds / FIRST_LOAD_SPEEDUP
    }

    private fun stageSpares(
        domain: String?,
        free: List<TargetEntry>,
    ) {
        val targets = view.entries.values.count { it.fabricDomain == domain && !it.isLeaving }
        val models =
            view.engine.models
                .filter { groups.count(domain, it.name) > 0 || (it.size <= targets && !isGivenUp(domain, it)) }
                .map { it.copy(share = shares.memberShare(it)) }
        val underCapacity = models.filter(::isUnderCapacity).map { it.name }.toSet()
        val spares =
            SpareModelSelector(
                models,
                free.map(staging::stagedModel),
                groups.countByModel(domain),
                groups.countByModel(),
                underCapacity,
                loading = free.mapNotNull { cycle.state.staging[it.id]?.model },
            )
        free.filter { it.id !in cycle.state.staging }.forEach { target ->
            val current = staging.stagedModel(target)
            val model = spares.nextModel(current) ?: return@forEach
            if (!staging.stage(target, model)) return
            spares.recordReplacement(current, model.name)
        }
    }

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
            else -> cycle.state.rosters[key]?.let { cycle.hasNotOpened(key, it) } ?: true
        }
    }

    private companion object {
        /** Time until the order is sent again to a target that doesn't hold its model by then. */
        const val STANDBY_RESEND_MILLISECONDS = 10_000L
        const val FIRST_LOAD_SPEEDUP = 10

        /** All first loads of a fleet run concurrently, so each takes longer than a single one. */
        const val FIRST_LOAD_CONTENTION_FACTOR = 12
    }
}
