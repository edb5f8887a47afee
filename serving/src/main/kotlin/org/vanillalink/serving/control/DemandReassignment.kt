/*
 * Takes the members of a group that the demand has left for a model whose groups can't serve what callers ask for.
 *
 * A change of model takes up to half a minute of loads, so only a shortage that lasts counts, and the donors' model
 * must keep far more room than its callers need. One reassignment is in progress in the failure domain at a time; after
 * it, demand is measured again. Losses go first: nothing begins or goes on in a fabric domain that forms or dissolves
 * groups. The donors' hosts load the model while their groups serve, as permits come; then the groups are closed.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.GroupKey
import org.vanillalink.serving.targets.TargetEntry
import java.util.Locale

/** Members of [donors] in [fabricDomain] load [model], or join groups of it once the donors [areClosed]. */
data class Reassignment(
    val model: String,
    val fabricDomain: String?,
    val donors: Set<GroupKey>,
    val startedAt: Long,
    val areClosed: Boolean = false,
)

/** A model that has left a fabric domain, as callers of another one need the targets more. */
data class GivenUpModel(
    val fabricDomain: String?,
    val model: String,
)

/** What the demand for models has come to in the failure domain. */
data class DemandReassignmentState(
    /** Since when the groups of a model can't serve its demand. */
    val shortSince: Map<String, Long> = emptyMap(),
    val inProgress: Reassignment? = null,
    /** When the last reassignment ended. */
    val endedAt: Long = Long.MIN_VALUE / 2,
    /** Models whose targets aren't kept for them in a fabric domain. */
    val givenUp: Set<GivenUpModel> = emptySet(),
)

/** [availableTargets] returns the targets of a fabric domain that are free now, or soon as its groups are dissolved. */
internal class DemandReassignment(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
    private val groups: ActiveGroups,
    private val shares: DemandShares,
    private val staging: HostStaging,
    private val donors: GroupDonors,
    private val availableTargets: (domain: String?) -> List<TargetEntry>,
) {
    private var state: DemandReassignmentState
        get() = cycle.state.demandReassignment
        set(value) {
            cycle.state = cycle.state.copy(demandReassignment = value)
        }

    fun apply() {
        if (!view.hasTraffic) return
        updateDemand()
        val inProgress = state.inProgress
        when {
            inProgress == null -> start()
            inProgress.areClosed -> awaitGroups(inProgress)
            else -> load(inProgress)
        }
    }

    private fun updateDemand() {
        val short =
            view.engine.models.filter { model ->
                val count = groups.count(model.name)
                val wasShort = model.name in state.shortSince
                if (wasShort) !shares.hasRecovered(model, count) else shares.isUnderCapacity(model, count)
            }
        val measuredFrom = maxOf(cycle.now, state.endedAt + cycle.settings.reassignmentPauseMilliseconds)
        state =
            state.copy(
                shortSince = short.associate { it.name to (state.shortSince[it.name] ?: measuredFrom) },
                givenUp = state.givenUp.filter(::isStillGivenUp).toSet(),
            )
    }

    private fun isStillGivenUp(givenUp: GivenUpModel): Boolean {
        val isServed = groups.count(givenUp.model) > 0
        return isServed && groups.count(givenUp.fabricDomain, givenUp.model) == 0 && givenUp.model !in state.shortSince
    }

    private fun start() {
        // A model without any group has the first right to the members.
        if (view.engine.models.any { groups.count(it.name) == 0 }) return
        val model =
            view.engine.models
                .filter { isLasting(it.name) }
                .minByOrNull { shares.servedFraction(it.name, groups.count(it.name)) } ?: return
        val chosen =
            donors
                .fabricDomains()
                .filterNot(::isRepairing)
                .mapNotNull { chooseDonors(it, model) }
                .minWithOrNull(compareBy({ missingLoads(it, model) }, { -freeTargets(it).size })) ?: return
        val fabricDomain = chosen.first().fabricDomain
        val reassignment = Reassignment(model.name, fabricDomain, chosen.map { it.key }.toSet(), cycle.now)
        state = state.copy(inProgress = reassignment)
        cycle.log(
            "reassignment-started",
            "model" to model.name,
            "fabricDomain" to fabricDomain,
            "groups" to chosen.joinToString(",") { it.key.group },
            "demand" to byModel { "%.1f".format(Locale.ROOT, view.demand[it] ?: 0.0) },
            "slots" to byModel { groups.count(it) * view.engine.slots },
            "afterMs" to cycle.now - state.shortSince.getValue(model.name),
        )
        load(reassignment)
    }

    private fun byModel(value: (String) -> Any): String =
        view.engine.models.joinToString(",") { "${it.name}:${value(it.name)}" }

    private fun isLasting(model: String): Boolean {
        val since = state.shortSince[model] ?: return false
        return cycle.now - since >= cycle.settings.lastingDemandMilliseconds
    }

    private fun isRepairing(fabricDomain: String?): Boolean = cycle.state.formations.values
        .any { it.head.fabricDomain == fabricDomain } ||
        cycle.state.dissolutions.values
            .any { it.head.fabricDomain == fabricDomain }

    private fun chooseDonors(
        fabricDomain: String?,
        model: ModelDefinition,
    ): List<ActiveGroup>? {
        val free = availableTargets(fabricDomain)
        // Free targets that load the model form a group of it without any donor.
        if (donors.loadedCount(free, model.name) >= model.size) return null
        return donors.choose(fabricDomain, model, free.size) { group, chosen ->
            canSpare(group.model, chosen.count { it.model == group.model } + 1)
        }
    }

    private fun canSpare(
        model: String,
        taken: Int,
    ): Boolean {
        val remaining = groups.all.count { it.model == model && it.isOpen } - taken
        return remaining >= 1 && model !in state.shortSince && shares.hasAmpleRoom(model, remaining)
    }

    private fun freeTargets(chosen: List<ActiveGroup>) = availableTargets(chosen.first().fabricDomain)

    private fun missingLoads(
        chosen: List<ActiveGroup>,
        model: ModelDefinition,
    ): Int = membersFor(chosen, model).let { it.size - donors.loadedCount(it, model.name) }

    /** As many members as make up whole groups of [model]. */
    private fun membersFor(
        chosen: List<ActiveGroup>,
        model: ModelDefinition,
    ): List<TargetEntry> {
        val targets = freeTargets(chosen) + donors.members(chosen)
        return donors.membersFor(model, targets, targets.size / model.size * model.size)
    }

    private fun load(reassignment: Reassignment) {
        val chosen = groups.all.filter { it.key in reassignment.donors && it.isEstablished }
        val model = view.engine.models.firstOrNull { it.name == reassignment.model }
        val isComplete =
            chosen.size == reassignment.donors.size &&
                chosen.all { donors.members(listOf(it)).size == it.size }
        when {
            model == null || !isComplete -> end(reassignment, "donor-lost")
            !isNeeded(model, chosen) -> end(reassignment, "demand-changed")
            isRepairing(reassignment.fabricDomain) -> return
            else -> load(reassignment, chosen, model)
        }
    }

    private fun isNeeded(
        model: ModelDefinition,
        chosen: List<ActiveGroup>,
    ): Boolean = model.name in state.shortSince &&
        chosen.groupBy { it.model }.all { (donor, given) -> canSpare(donor, given.size) }

    private fun load(
        reassignment: Reassignment,
        chosen: List<ActiveGroup>,
        model: ModelDefinition,
    ) {
        val members = membersFor(chosen, model)
        staging.stageAll(members, model)
        if (members.any { staging.readinessRank(it, model.name) > HostStaging.STAGED }) return
        donors.close(chosen)
        val remaining = groups.all - chosen.toSet()
        val left =
            chosen.map { it.model }.filter { donor ->
                remaining.none { it.fabricDomain == reassignment.fabricDomain && it.model == donor }
            }
        state =
            state.copy(
                inProgress = reassignment.copy(areClosed = true),
                givenUp = state.givenUp + left.map { GivenUpModel(reassignment.fabricDomain, it) },
            )
    }

    private fun awaitGroups(reassignment: Reassignment) {
        if (!isRepairing(reassignment.fabricDomain)) end(reassignment, "done")
    }

    private fun end(
        reassignment: Reassignment,
        result: String,
    ) {
        cycle.log(
            "reassignment-ended",
            "model" to reassignment.model,
            "fabricDomain" to reassignment.fabricDomain,
            "result" to result,
            "groups" to groups.count(reassignment.model),
            "afterMs" to cycle.now - reassignment.startedAt,
        )
        state = state.copy(inProgress = null, endedAt = cycle.now, shortSince = emptyMap())
    }
}
