/*
 * The form of a joined scenario: sizes, then what happens at which time, then what is expected.
 */
package org.vanillalink.control.joined

import org.vanillalink.configuration.FailureDomainState
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.GroupId
import org.vanillalink.testing.Scenario
import java.time.Duration

/** Collects a scenario's steps; times count from the moment at which everything serves. */
internal class JoinedScript(
    private val title: String,
) {
    private val sizes = Sizes()
    private val steps = mutableListOf<Pair<Duration, Site.() -> Unit>>()
    private var expectation: Site.() -> Unit = {}

    fun sizes(set: Sizes.() -> Unit) = sizes.set()

    fun at(
        time: Duration,
        action: Site.() -> Unit,
    ) {
        steps.add(time to action)
    }

    fun expect(check: Site.() -> Unit) {
        expectation = check
    }

    fun run(seed: Long) {
        val scenario = Scenario(seed)
        scenario.note(title)
        val site = Site(scenario, sizes)
        val groups =
            sizes.failureDomains.flatMap { domain ->
                List(sizes.groupsPerFailureDomain) { "$domain/${Site.MODEL}/$it" }
            }
        site.await(Duration.ofSeconds(40), "all groups serve at first") { groups.all(site::servesEverywhere) }
        site.run(SETTLING)
        val begin = scenario.now
        steps.sortedBy { it.first }.forEach { (time, action) ->
            site.run(Duration.between(scenario.now, begin.plus(time)))
            scenario.note("--- step at $time")
            action(site)
        }
        expectation(site)
        site.truth.observe()
        site.run(Site.ATTEMPT_TIMEOUT)
        site.truth.checkAtEnd()
    }

    private companion object {
        val SETTLING: Duration = Duration.ofSeconds(3)
    }
}

/** Runs the scenario [title] once for each of [seeds]. */
internal fun scenario(
    title: String,
    seeds: LongRange = SEEDS,
    script: JoinedScript.() -> Unit,
) = seeds.forEach { JoinedScript(title).apply(script).run(it) }

internal val Int.seconds: Duration get() = Duration.ofSeconds(toLong())

internal val Int.milliseconds: Duration get() = Duration.ofMillis(toLong())

private val SEEDS = 1L..5L

/** The member of [group] with [rank], by what the first daemon of its failure domain knows. */
internal fun Site.memberOf(
    group: String,
    rank: Int,
): String = members(daemonsOf(group.substringBefore('/')).first { it.alive }, group)[rank]

/** The members of [group] by what [daemon] knows, in the order of their ranks. */
internal fun members(
    daemon: JoinedDaemon,
    group: String,
): List<String> = daemon.control.servingState.descriptions
    .getValue(GroupId(group))
    .members
    .map { it.value }

internal fun Site.pauseMember(
    group: String,
    rank: Int,
) = host(memberOf(group, rank)).pause()

internal fun Site.servesAgainWithin(
    group: String,
    limit: Duration,
) = await(limit, "$group serves again") { servesEverywhere(group) }

/** Fails unless [group] serves at every daemon of its failure domain all through [duration]. */
internal fun Site.keepsServing(
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
internal fun Site.controllerOf(failureDomain: String): JoinedDaemon =
    daemonsOf(failureDomain).first { it.alive && it.control.domainState.heldFencingNumber != null }

/** Whether [daemon] works by a configuration in which [failureDomain] is out. */
internal fun Site.isOutAt(
    daemon: String,
    failureDomain: String,
): Boolean {
    val settings = daemon(daemon).control.configuration.failureDomains[FailureDomainId(failureDomain)]
    return settings?.state == FailureDomainState.OUT
}
