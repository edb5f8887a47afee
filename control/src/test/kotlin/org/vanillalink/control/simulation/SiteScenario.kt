/*
 * The form of a joined scenario: sizes, then what happens at which time, then what is expected.
 */
package org.vanillalink.control.simulation

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.testing.Scenario
import java.time.Duration

/** Collects a scenario's steps; times count from the moment at which everything serves. */
internal class SiteScenario(
    private val title: String,
) {
    private val sizes = SiteSize()
    private val steps = mutableListOf<Pair<Duration, SimulatedSite.() -> Unit>>()
    private var expectation: SimulatedSite.() -> Unit = {}

    fun siteSize(set: SiteSize.() -> Unit) = sizes.set()

    fun at(
        time: Duration,
        action: SimulatedSite.() -> Unit,
    ) {
        steps.add(time to action)
    }

    fun expect(check: SimulatedSite.() -> Unit) {
        expectation = check
    }

    fun run(seed: Long) {
        val scenario = Scenario(seed)
        scenario.note(title)
        val site = SimulatedSite(scenario, sizes)
        val groups =
            sizes.failureDomains.flatMap { domain ->
                List(sizes.groupsPerFailureDomain) { "$domain/${SimulatedSite.MODEL}/$it" }
            }
        site.await(Duration.ofSeconds(40), "all groups serve at first") { groups.all(site::servesEverywhere) }
        site.run(SETTLING)
        val startedAt = scenario.now
        steps.sortedBy { it.first }.forEach { (time, action) ->
            site.run(Duration.between(scenario.now, startedAt.plus(time)))
            scenario.note("--- step at $time")
            action(site)
        }
        expectation(site)
        site.invariants.observe()
        site.run(SimulatedSite.ATTEMPT_TIMEOUT)
        site.invariants.checkAtEnd()
    }

    private companion object {
        val SETTLING: Duration = Duration.ofSeconds(3)
    }
}

/** Runs the scenario [title] once for each of [seeds]. */
internal fun siteScenario(
    title: String,
    seeds: LongRange = SEEDS,
    script: SiteScenario.() -> Unit,
) = seeds.forEach { SiteScenario(title).apply(script).run(it) }

internal val Int.seconds: Duration get() = Duration.ofSeconds(toLong())

internal val Int.milliseconds: Duration get() = Duration.ofMillis(toLong())

private val SEEDS = 1L..5L

/** The member of [group] with [rank], by what the first daemon of its failure domain knows. */
internal fun SimulatedSite.memberOf(
    group: String,
    rank: Int,
): String = members(daemonsOf(group.substringBefore('/')).first { it.isAlive }, group)[rank]

/** The members of [group] by what [daemon] knows, in the order of their ranks. */
internal fun members(
    daemon: SimulatedDaemon,
    group: String,
): List<String> = daemon.control.servingState.descriptions
    .getValue(GroupId(group))
    .members
    .map { it.value }

internal fun SimulatedSite.pauseMember(
    group: String,
    rank: Int,
) = host(memberOf(group, rank)).pause()

internal fun SimulatedSite.awaitServing(
    group: String,
    limit: Duration,
) = await(limit, "$group serves again") { servesEverywhere(group) }

/** Fails unless [group] serves at every daemon of its failure domain all through [duration]. */
internal fun SimulatedSite.checkKeepsServing(
    group: String,
    duration: Duration,
) {
    val end = scenario.now.plus(duration)
    while (scenario.now < end) {
        scenario.check(servesEverywhere(group)) { "$group stopped serving somewhere" }
        run(100.milliseconds)
    }
}

/** The daemon that holds [failureDomain]'s control. */
internal fun SimulatedSite.controllerOf(failureDomain: String): SimulatedDaemon =
    daemonsOf(failureDomain).first { it.isAlive && it.control.domainState.heldFencingNumber != null }

/** Whether [daemon] works by a configuration in which [failureDomain] is out. */
internal fun SimulatedSite.isOutAt(
    daemon: String,
    failureDomain: String,
): Boolean {
    val settings = daemon(daemon).control.configuration.failureDomains[FailureDomainId(failureDomain)]
    return settings?.state == FailureDomainState.OUT
}
