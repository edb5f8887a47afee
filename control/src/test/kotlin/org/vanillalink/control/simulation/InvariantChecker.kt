/*
 * The promises, checked against what the targets themselves know and what the table holds.
 */
package org.vanillalink.control.simulation

import org.vanillalink.model.GroupId
import org.vanillalink.model.TargetPhase
import java.time.Duration
import java.time.Instant

internal class InvariantChecker(
    private val site: SimulatedSite,
) {
    private val scenario = site.scenario
    private val firstCompleteAt = HashMap<GroupId, Instant>()
    private val incompleteSince = HashMap<GroupId, Instant>()
    private val checkedStartCounts = HashMap<SimulatedTarget, Int>()

    /** Called often; checks what must hold at every moment. */
    fun observe() {
        observeGroups()
        checkStarts()
        checkRuns()
        checkRevisions()
        checkClaims()
    }

    /** What must hold once everything has settled. */
    fun checkAtEnd() {
        site.requests.forEach { request ->
            scenario.check(request.answers.size == 1) { "${request.name} has ${request.answers.size} final answers" }
            val notRun = (request.answer as? FinalResponse.Refused)?.mayHaveRun == false
            val ran = runCount(request.work) > 0
            val others = site.requests.any { it !== request && it.work == request.work }
            scenario.check(!notRun || !ran || others) { "${request.name} was told 'not run' but ran" }
        }
        checkClaims()
    }

    fun runCount(work: String): Int = site.targets.values.sumOf { it.runs[work] ?: 0 }

    private fun observeGroups() {
        val complete =
            site.targets.values
                .filter { !it.isDead && !it.isPaused && it.phase == TargetPhase.READY }
                .mapNotNull { it.assignment }
                .groupBy { it.group to it.generation }
                .filterValues { members -> members.map { it.rank }.toSet().size == members.first().size }
                .keys
                .map { it.first }
                .toSet()
        val knownGroups = firstCompleteAt.keys + complete
        knownGroups.forEach { group ->
            firstCompleteAt.putIfAbsent(group, scenario.now)
            if (group in complete) incompleteSince.remove(group) else incompleteSince.putIfAbsent(group, scenario.now)
        }
    }

    private fun checkStarts() = site.targets.values.forEach { target ->
        val checkedCount = checkedStartCounts[target] ?: 0
        target.attemptStarts.drop(checkedCount).forEach { start ->
            val incompleteFrom = start.group?.let { incompleteSince[it] } ?: return@forEach
            val undetectedFor = Duration.between(incompleteFrom, start.at)
            scenario.check(
                undetectedFor <= MAX_DETECTION_TIME,
            ) { "${start.by} started ${start.attempt} at broken ${start.group}" }
        }
        checkedStartCounts[target] = target.attemptStarts.size
    }

    private fun checkRuns() {
        val keyed =
            site.requests
                .filter { it.work != it.name }
                .map { it.work }
                .toSet()
        keyed.forEach { scenario.check(runCount(it) <= 1) { "$it ran ${runCount(it)} times" } }
    }

    private fun checkRevisions() = site.daemons.filter { it.isAlive }.forEach { daemon ->
        val inForce = daemon.revisions
        scenario.check(inForce == inForce.sorted()) { "${daemon.id} went back in revision: $inForce" }
    }

    /** By the groups' rows, and by what the routers hold to be serving. */
    private fun checkClaims() {
        val rows =
            site.platform.table
                .scanNow("groups/")
                .getOrNull()
                .orEmpty()
        val claimed =
            rows.values.flatMap {
                MEMBERS
                    .find(it.value)
                    ?.groupValues
                    ?.get(1)
                    ?.split(',')
                    .orEmpty()
            }
        val members = claimed.map { it.trim() }.filter { it.isNotEmpty() }
        scenario.check(members.size == members.toSet().size) { "a host is in two groups' rows: $members" }
        site.daemons.filter { it.isAlive && !it.isPaused }.forEach { daemon ->
            val serving = daemon.control.servingState
            val hosts =
                serving.descriptions.values
                    .filter {
                        site.serves(
                            daemon,
                            it.group.value,
                        )
                    }.flatMap { it.members }
            scenario.check(hosts.size == hosts.toSet().size) { "${daemon.id} has a host in two serving groups" }
        }
    }

    companion object {
        val INTERVAL: Duration = Duration.ofMillis(50)

        /** A report is evidence for 2 s; it is up to 0.5 s old when it arrives, and a tick may be due. */
        val MAX_DETECTION_TIME: Duration = Duration.ofMillis(2_300)
        private val MEMBERS = Regex("\"members\":\\[([^]]*)]")
    }
}
