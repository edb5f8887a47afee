/*
 * Which models hosts have or load, and the permits for loads from the weight store.
 *
 * Under traffic each load needs a permit of its own, and the bucket holds few. So the members of a group are staged as
 * permits come, and join when all are staged: a group of any size is formed in the end, and a formation that fails has
 * used no permit without a load.
 */
package org.vanillalink.serving.control

import org.vanillalink.serving.catalog.ModelDefinition
import org.vanillalink.serving.targets.TargetEntry

internal class HostStaging(
    private val cycle: GroupControlCycle,
    private val view: DomainView,
) {
    fun readinessRank(
        target: TargetEntry,
        model: String,
    ): Int = when {
        target.model == model && model in target.staged -> IN_MEMORY
        model in target.staged -> STAGED
        cycle.state.staging[target.id]?.model == model -> STAGING
        target.staged.isEmpty() -> EMPTY
        else -> OTHER_MODEL
    }

    /** The model that [target] has staged, or will have once its load completes. */
    fun stagedModel(target: TargetEntry): String? = cycle.state.staging[target.id]?.model
        ?: target.staged.firstOrNull { name -> view.engine.models.any { it.name == name } }

    /** Stages [model] on those of [members] that neither have nor load it, as far as permits suffice. */
    fun stageAll(
        members: List<TargetEntry>,
        model: ModelDefinition,
    ) = members
        .filter { readinessRank(it, model.name) > STAGING && it.id !in cycle.state.staging }
        .all { stage(it, model) }

    /** Orders [target] to stage [model]; returns false if that has to wait for a permit. */
    fun stage(
        target: TargetEntry,
        model: ModelDefinition,
    ): Boolean {
        if (view.hasTraffic && !acquirePermit()) return false
        val until = cycle.now + model.loadMilliseconds + cycle.settings.formationGraceMilliseconds
        val staging = Staging(model.name, until, contendedUntil = until + contention(model), view.hasTraffic)
        val before = stagedModel(target)
        cycle.state = cycle.state.copy(staging = cycle.state.staging + (target.id to staging))
        cycle.log("model-staging", "target" to target.id, "model" to model.name, "instead" to before)
        cycle.send(target, GroupOrder.Stage(model.name))
        return true
    }

    /** The time that a load takes longer if all members of a group load at once in each failure domain. */
    private fun contention(model: ModelDefinition): Long {
        val loads = maxOf(model.size, cycle.state.staging.size + 1) * view.failureDomainCount
        return (loads - view.engine.concurrentLoads).coerceAtLeast(0) * model.loadMilliseconds /
            view.engine.concurrentLoads.coerceAtLeast(1)
    }

    fun refillPermits() {
        val tokensPerSecond = view.engine.loadsPerSecond / view.failureDomainCount
        val elapsed = cycle.now - cycle.state.loadTokensFilledAt
        val tokens = cycle.state.loadTokens + tokensPerSecond * elapsed / MILLISECONDS_PER_SECOND
        cycle.state = cycle.state.copy(loadTokens = minOf(tokens, MAX_LOAD_TOKENS), loadTokensFilledAt = cycle.now)
    }

    private fun acquirePermit(): Boolean {
        if (cycle.state.loadTokens < 1) return false
        cycle.state = cycle.state.copy(loadTokens = cycle.state.loadTokens - 1)
        return true
    }

    companion object {
        const val IN_MEMORY = 0
        const val STAGED = 1
        const val STAGING = 2
        private const val EMPTY = 3
        private const val OTHER_MODEL = 4
        private const val MILLISECONDS_PER_SECOND = 1_000.0

        /** Loads that may start together after an idle time; well below the store's limit per window. */
        private const val MAX_LOAD_TOKENS = 4.0
    }
}
