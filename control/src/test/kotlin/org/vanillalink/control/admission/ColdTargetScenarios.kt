/*
 * Guards cold targets against more requests than they accept, summed over all daemons, with complete daemon logic.
 */
package org.vanillalink.control.admission

import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

class ColdTargetScenarios {
    @Test
    fun `a cold group behind three daemons is used up to its bound and not beyond`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(20))

        domain.run(seconds(35))

        checkBound(domain)
        check(domain.overloadsByUninformed == 0) { "overload by uninformed senders without a reset to cold" }
        checkServes(domain, 50)
    }

    @Test
    fun `the bound holds when a controller with lent units dies and is replaced`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(40))
        domain.run(seconds(2))
        val first = domain.controller ?: error("no daemon holds control")
        first.die()
        val servedBefore = domain.served

        domain.scenario.after(seconds(15)) { first.start() }
        domain.run(seconds(60))

        checkBound(domain)
        domain.scenario.check(domain.controller != null) { "no controller" }
        domain.scenario.check(domain.served > servedBefore + 50) { "served ${domain.served - servedBefore}" }
    }

    @Test
    fun `units of a borrower that dies are not lent again before its attempts end`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(20))
        domain.run(seconds(2))
        repeat(100) { if (findBorrower(domain) == null) domain.run(Duration.ofMillis(100)) }
        val borrower = findBorrower(domain) ?: error("no daemon has borrowed units")
        borrower.die()

        domain.scenario.after(Duration.ofMillis(500)) { borrower.start() }
        domain.run(seconds(30))

        checkBound(domain)
        checkServes(domain, 50)
    }

    @Test
    fun `informed daemons do not overload targets that restart cold`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(40))
        domain.run(seconds(15))
        domain.engines.values.forEach { it.restart() }
        val servedBefore = domain.served

        domain.run(seconds(45))

        checkBound(domain)
        domain.scenario.check(domain.served > servedBefore + 50) { "served ${domain.served - servedBefore}" }
    }

    @Test
    fun `informed daemons do not overload a target that becomes cold without a restart`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(40))
        domain.run(seconds(15))

        domain.engines.values.forEach { it.resetToCold() }
        domain.run(seconds(45))

        checkBound(domain)
        checkServes(domain, 100)
    }

    @Test
    fun `a warm target stays usable without the platform or a controller`() = forEachKind { domain ->
        domain.load(REQUESTS_PER_SECOND, seconds(30))
        domain.run(seconds(32))
        domain.table.behaviour = StoreBehaviour.UNAVAILABLE
        domain.controller?.die()
        val answeredBefore = domain.daemons.values.sumOf { it.answered }

        domain.load(1, seconds(10))
        domain.run(seconds(15))

        domain.scenario.check(domain.daemons.values.sumOf { it.answered } > answeredBefore + 10) { "not answered" }
    }

    private fun findBorrower(domain: SimulatedDomain): SimulatedDaemon? =
        domain.daemons.values.firstOrNull { it != domain.controller && it.runningAttemptCount > 0 }

    private fun forEachKind(script: (SimulatedDomain) -> Unit) = forEachSeed(1L..SEEDS) {
        listOf(true, false).forEach { checks ->
            val kind = Scenario(seed)
            val domain = SimulatedDomain(kind, checks)
            domain.run(FORMATION_TIME)
            kind.check(domain.engines.values.all { it.report().assignment != null }) { "groups did not form" }
            script(domain)
        }
    }

    private fun checkBound(domain: SimulatedDomain) = domain.scenario.check(domain.overloadsByInformed == 0) {
        "${domain.overloadsByInformed} requests beyond the bound from informed daemons"
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
