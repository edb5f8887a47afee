package org.vanillalink.admission

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

/**
 * In each scenario the simulation checks that no cold target runs more than its bound, and the test checks that
 * requests are admitted at every target again after the fault.
 */
class AdmissionScenarios {
    private val first = DaemonId("d1")
    private val second = DaemonId("d2")

    @Test
    fun `a new owner keeps the bound after its predecessor dies with units lent`() = forEachSeed(SEEDS) {
        val domain = simulatedDomain(this)
        after(seconds(5)) { domain.kill(first, detectedAfter = seconds(2)) }
        after(seconds(6)) { domain.takeControl(second) }

        runAndCheckFlow(domain, seconds(12))
    }

    @Test
    fun `units of a holder that dies with running attempts are free again once the target no longer lists them`() =
        forEachSeed(SEEDS) {
            val domain = simulatedDomain(this)
            after(seconds(5)) { domain.kill(second, detectedAfter = seconds(1)) }

            runAndCheckFlow(domain, seconds(12))
        }

    @Test
    fun `a holder that is paused past the expiry of its loan keeps the bound when it resumes`() = forEachSeed(SEEDS) {
        val domain = simulatedDomain(this)
        after(seconds(3)) { domain.pause(second, seconds(6)) }

        runAndCheckFlow(domain, seconds(12))
    }

    @Test
    fun `lost returns and duplicated grants neither use a unit twice nor lose it`() = forEachSeed(SEEDS) {
        val domain = simulatedDomain(this, VERY_UNRELIABLE)

        runAndCheckFlow(domain, seconds(20))
    }

    @Test
    fun `a controller that was replaced while paused keeps the bound when it resumes`() = forEachSeed(SEEDS) {
        val domain = simulatedDomain(this)
        after(seconds(3)) { domain.pause(first, seconds(4)) }
        after(seconds(4)) { domain.takeControl(second) }

        runAndCheckFlow(domain, seconds(15))
    }

    @Test
    fun `a target that restarts with loans outstanding starts at its cold bound`() = forEachSeed(SEEDS) {
        val domain = simulatedDomain(this)
        after(seconds(6)) { domain.targets.values.forEach { it.restart() } }

        runAndCheckFlow(domain, seconds(12))
    }

    private fun simulatedDomain(
        scenario: Scenario,
        behaviour: LinkBehaviour = SimulatedDomain.RELIABLE,
    ): SimulatedDomain {
        val targets = listOf(SimulatedTarget(HostId("checking"), true), SimulatedTarget(HostId("trusting"), false))
        return SimulatedDomain(scenario, targets = targets).also { it.begin(behaviour) }
    }

    private fun Scenario.runAndCheckFlow(
        domain: SimulatedDomain,
        duration: Duration,
    ) {
        run(duration)
        val before = domain.startedAt.toMap()
        run(seconds(8))
        domain.targets.keys.forEach { host ->
            check(domain.startedAt.getOrDefault(host, 0) > before.getOrDefault(host, 0)) { "nothing starts at $host" }
        }
    }

    private fun seconds(count: Long): Duration = Duration.ofSeconds(count)

    private companion object {
        val SEEDS = 1L..20L
        val VERY_UNRELIABLE = SimulatedDomain.UNRELIABLE.copy(lossProbability = 0.4, duplicateProbability = 0.5)
    }
}
