package org.vanillalink.admission

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.LongRange
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.testing.Scenario
import java.time.Duration
import kotlin.test.assertTrue

class AdmissionBoundProperties {
    @Property(seed = "20261204", tries = 150)
    fun `a cold target never runs more than its bound under any sequence of faults`(
        @ForAll @LongRange(min = 0, max = 1_000_000_000) seed: Long,
    ) {
        val scenario = Scenario(seed)
        val domain = unreliableDomain(scenario)

        scenario.run(Duration.ofSeconds(30))

        assertTrue(domain.started > 0, "nothing was admitted [seed=$seed]")
    }

    private fun unreliableDomain(scenario: Scenario): SimulatedDomain {
        val targets = listOf(SimulatedTarget(HostId("checking"), true), SimulatedTarget(HostId("trusting"), false))
        val domain = SimulatedDomain(scenario, targets = targets)
        domain.begin(SimulatedDomain.UNRELIABLE)
        repeat(FAULTS) { scenario.after(upTo(scenario, 25_000)) { fault(scenario, domain) } }
        return domain
    }

    private fun fault(
        scenario: Scenario,
        domain: SimulatedDomain,
    ) {
        val daemon = domain.daemons.keys.random(scenario.random)
        val target = domain.targets.values.random(scenario.random)
        when (scenario.random.nextInt(6)) {
            0 -> domain.pause(daemon, upTo(scenario, 6_000))
            1 -> domain.kill(daemon, upTo(scenario, 2_000))
            2 -> domain.disconnect(daemon, upTo(scenario, 5_000))
            3 -> replaceController(scenario, domain, daemon)
            4 -> target.restart().also { scenario.note("restart ${target.host}") }
            else -> target.turnCold().also { scenario.note("cold ${target.host}") }
        }
    }

    private fun replaceController(
        scenario: Scenario,
        domain: SimulatedDomain,
        daemon: DaemonId,
    ) {
        if (domain.daemon(daemon).isPaused || domain.daemon(daemon).isDead) return
        scenario.note("control to $daemon")
        domain.takeControl(daemon)
    }

    private fun upTo(
        scenario: Scenario,
        milliseconds: Long,
    ): Duration = Duration.ofMillis(scenario.random.nextLong(1, milliseconds))

    private companion object {
        const val FAULTS = 12
    }
}
