/*
 * The promises, checked against what the targets themselves know and what the table holds.
 */
package org.vanillalink.control.joined

import org.vanillalink.model.GroupId
import org.vanillalink.model.TargetPhase
import java.time.Duration
import java.time.Instant

internal class Truth(
    private val site: Site,
) {
    private val scenario = site.scenario
    private val wholeSince = HashMap<GroupId, Instant>()
    private val brokenSince = HashMap<GroupId, Instant>()
    private val checkedStarts = HashMap<JoinedTarget, Int>()

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
            val notRun = (request.answer as? FinalAnswer.Refused)?.mayHaveRun == false
            val ran = runsOf(request.work) > 0
            val others = site.requests.any { it !== request && it.work == request.work }
            scenario.check(!notRun || !ran || others) { "${request.name} was told 'not run' but ran" }
        }
        checkClaims()
    }

    fun runsOf(work: String): Int = site.targets.values.sumOf { it.runs[work] ?: 0 }

    private fun observeGroups() {
        val whole =
            site.targets.values
                .filter { !it.dead && !it.paused && it.phase == TargetPhase.READY }
                .mapNotNull { it.assignment }
                .groupBy { it.group to it.generation }
                .filterValues { members -> members.map { it.rank }.toSet().size == members.first().size }
                .keys
                .map { it.first }
                .toSet()
        val known = wholeSince.keys + whole
        known.forEach { group ->
            wholeSince.putIfAbsent(group, scenario.now)
            if (group in whole) brokenSince.remove(group) else brokenSince.putIfAbsent(group, scenario.now)
        }
    }

    private fun checkStarts() = site.targets.values.forEach { target ->
        val seen = checkedStarts[target] ?: 0
        target.starting.drop(seen).forEach { start ->
            val broken = start.group?.let { brokenSince[it] } ?: return@forEach
            val unseen = Duration.between(broken, start.at)
            scenario.check(unseen <= DETECTED_AFTER) { "${start.by} started ${start.attempt} at broken ${start.group}" }
        }
        checkedStarts[target] = target.starting.size
    }

    private fun checkRuns() {
        val keyed =
            site.requests
                .filter { it.work != it.name }
                .map { it.work }
                .toSet()
        keyed.forEach { scenario.check(runsOf(it) <= 1) { "$it ran ${runsOf(it)} times" } }
    }

    private fun checkRevisions() = site.daemons.filter { it.alive }.forEach { daemon ->
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
        site.daemons.filter { it.alive && !it.paused }.forEach { daemon ->
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
        val DETECTED_AFTER: Duration = Duration.ofMillis(2_300)
        private val MEMBERS = Regex("\"members\":\\[([^]]*)]")
    }
}
