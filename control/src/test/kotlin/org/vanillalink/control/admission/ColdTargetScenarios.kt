/*
 * Load on cold targets, summed over all daemons, with the daemons' decisions whole.
 */
package org.vanillalink.control.admission

import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

class ColdTargetScenarios {
    @Test
    fun `a cold group behind three daemons gets what it bears, and all of it`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(20))

        domain.run(seconds(35))

        checkBound(domain)
        check(domain.overloadsByUninformed == 0) { "unaware senders where nothing turned cold" }
        checkServes(domain, 50)
    }

    @Test
    fun `a controller that dies with units lent leaves the bound whole and is replaced`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(40))
        domain.run(seconds(2))
        val first = domain.controller ?: error("nobody controls")
        first.die()
        val servedBefore = domain.served

        domain.scenario.after(seconds(15)) { first.start() }
        domain.run(seconds(60))

        checkBound(domain)
        domain.scenario.check(domain.controller != null) { "no controller" }
        domain.scenario.check(domain.served > servedBefore + 50) { "served ${domain.served - servedBefore}" }
    }

    @Test
    fun `units of a borrower that dies with attempts running go to nobody before these end`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(20))
        domain.run(seconds(2))
        repeat(100) { if (findBorrower(domain) == null) domain.run(Duration.ofMillis(100)) }
        val borrower = findBorrower(domain) ?: error("nobody borrows")
        borrower.die()

        domain.scenario.after(Duration.ofMillis(500)) { borrower.start() }
        domain.run(seconds(30))

        checkBound(domain)
        checkServes(domain, 50)
    }

    @Test
    fun `targets that return cold take only what they bear from daemons that know`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(40))
        domain.run(seconds(15))
        domain.engines.values.forEach { it.restart() }
        val servedBefore = domain.served

        domain.run(seconds(45))

        checkBound(domain)
        domain.scenario.check(domain.served > servedBefore + 50) { "served ${domain.served - servedBefore}" }
    }

    @Test
    fun `a turn to cold without a restart is borne by daemons that know`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(40))
        domain.run(seconds(15))

        domain.engines.values.forEach { it.resetToCold() }
        domain.run(seconds(45))

        checkBound(domain)
        checkServes(domain, 100)
    }

    @Test
    fun `a warm target stays usable without the platform and a controller`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(30))
        domain.run(seconds(32))
        domain.table.behaviour = StoreBehaviour.UNAVAILABLE
        domain.controller?.die()
        val answeredBefore = domain.daemons.values.sumOf { it.answered }

        domain.load(1, seconds(10))
        domain.run(seconds(15))

        domain.scenario.check(domain.daemons.values.sumOf { it.answered } > answeredBefore + 10) { "not served" }
    }

    private fun findBorrower(domain: SimulatedDomain): SimulatedDaemon? =
        domain.daemons.values.firstOrNull { it != domain.controller && it.runningAttemptCount > 0 }

    private fun forEachKind(script: (SimulatedDomain) -> Unit) = forEachSeed(1L..SEEDS) {
        listOf(true, false).forEach { checks ->
            val kind = Scenario(seed)
            val domain = SimulatedDomain(kind, checks)
            domain.run(FORMATION_TIME)
            kind.check(domain.engines.values.all { it.report().assignment != null }) { "no groups" }
            script(domain)
        }
    }

    private fun checkBound(domain: SimulatedDomain) = domain.scenario.check(domain.overloadsByInformed == 0) {
        "${domain.overloadsByInformed} requests beyond the bound from daemons that knew"
    }

    private fun checkServes(
        domain: SimulatedDomain,
        atLeast: Int,
    ) = domain.scenario.check(domain.served >= atLeast) { "served ${domain.served}" }

    private fun seconds(count: Long): Duration = Duration.ofSeconds(count)

    private companion object {
        const val SEEDS = 3L
        const val REQUESTS_PER_SECOND = 10
        val FORMATION_TIME: Duration = Duration.ofSeconds(12)
    }
}
