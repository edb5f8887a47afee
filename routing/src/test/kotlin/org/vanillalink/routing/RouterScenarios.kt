package org.vanillalink.routing

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.WorkspaceId
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

class RouterScenarios {
    private val deadline = Duration.ofSeconds(6)

    @Test
    fun `a domain that is out gets no attempts and refuses nothing once it has warmed up again`() = forEachSeed(SEEDS) {
        val model = createModel(targets = 4)
        generateLoad(model, everyMilliseconds = 60, workspaces = listOf("a", "b"))
        run(Duration.ofSeconds(10))
        check(model.refused() == 0) { "refused ${model.refused()} before the domain was taken out" }

        model.setDomain(FailureDomainState.OUT)
        run(Duration.ofSeconds(10))
        val refusedWhileOut = model.refused()
        model.targets.values.forEach { it.units = 1 }
        model.targets.values.forEach { model.publish(it) }
        model.setDomain(FailureDomainState.IN)
        doubleUnits(model)
        run(Duration.ofSeconds(12))
        val refusedAtReturn = model.refused() - refusedWhileOut
        run(Duration.ofSeconds(20))

        check(refusedWhileOut > 0) { "no request was refused while no target served" }
        val later = model.refused() - refusedWhileOut - refusedAtReturn
        check(later == 0) { "refused $later after the ramp" }
        model.checkAllDecided(Duration.ofMillis(200))
    }

    @Test
    fun `small workspaces get their share beside large ones under overload`() = forEachSeed(SEEDS) {
        val model = createModel(targets = 2)
        generateLoad(model, everyMilliseconds = 10, workspaces = listOf("large-1", "large-2"))
        generateLoad(model, everyMilliseconds = 300, workspaces = listOf("small-1", "small-2"))
        run(Duration.ofSeconds(60))

        listOf("small-1", "small-2").forEach { name ->
            val answered = model.answeredInTime[WorkspaceId(name)] ?: 0
            val requested = model.arrivals.values.count { it.workspace.value == name }
            check(answered >= requested * 0.9) { "$name got $answered of $requested" }
        }
        model.checkAllDecided(Duration.ofMillis(200))
    }

    @Test
    fun `at five times the capacity almost all attempts end before their deadlines`() = forEachSeed(SEEDS) {
        val model = createModel(targets = 4)
        generateLoad(model, everyMilliseconds = 6, workspaces = listOf("a", "b", "c"))
        run(Duration.ofSeconds(60))

        val inTime = model.answeredInTime.values.sum()
        check(inTime >= model.attempts * 0.95) { "$inTime in time of ${model.attempts} attempts" }
        check(inTime >= 60 * 4 * 8 * 0.9) { "only $inTime answered in time" }
        model.checkAllDecided(Duration.ofMillis(200))
    }

    @Test
    fun `repeated losses of targets cause no more retries than the budget allows`() = forEachSeed(SEEDS) {
        val settings = RouterSettings(retryFraction = 0.1, retryBurst = 10)
        val model = createModel(targets = 4, settings)
        generateLoad(model, everyMilliseconds = 40, workspaces = listOf("a", "b"))
        every(Duration.ofMillis(900)) { crashOne(model) }
        run(Duration.ofSeconds(60))

        val first = model.arrivals.size
        check(model.attempts <= first * 1.1 + 10) { "${model.attempts} attempts for $first requests" }
        check(model.attempts > first) { "no retry was made" }
        model.checkAllDecided(Duration.ofMillis(200))
    }

    @Test
    fun `a leaving target gets no new requests under load`() = forEachSeed(SEEDS) {
        val model = createModel(targets = 3)
        generateLoad(model, everyMilliseconds = 30, workspaces = listOf("a"))
        run(Duration.ofSeconds(5))
        val leaving = model.targets.values.first()
        leaving.leaving = true
        model.publish(leaving)
        run(Duration.ofSeconds(10))

        check(leaving.running.isEmpty()) { "attempts still run on the leaving target" }
    }

    private fun Scenario.createModel(
        targets: Int,
        settings: RouterSettings = RouterSettings(),
    ): TargetModel {
        val model = TargetModel(this, settings)
        repeat(targets) { model.add("h$it", capacity = 8) }
        model.tickEvery(Duration.ofMillis(100))
        model.reportEvery(Duration.ofMillis(500), lag = Duration.ofMillis(300))
        return model
    }

    private fun Scenario.generateLoad(
        model: TargetModel,
        everyMilliseconds: Long,
        workspaces: List<String>,
    ) {
        every(Duration.ofMillis(everyMilliseconds)) { model.arrive(workspaces.random(random), deadline) }
    }

    private fun Scenario.doubleUnits(model: TargetModel) {
        every(Duration.ofSeconds(2)) {
            model.targets.values.forEach { target ->
                target.units = minOf(target.capacity, (target.units ?: target.capacity) * 2)
                model.publish(target)
            }
        }
    }

    private fun Scenario.crashOne(model: TargetModel) {
        val target =
            model.targets.values
                .filter { it.serves }
                .randomOrNull(random) ?: return
        model.crash(target)
        after(Duration.ofMillis(800)) {
            target.serves = true
            model.publish(target)
        }
    }

    private companion object {
        val SEEDS = 1L..5L
    }
}
