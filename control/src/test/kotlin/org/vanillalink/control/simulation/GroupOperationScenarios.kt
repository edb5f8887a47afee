/*
 * Guards the repair of groups while members and fabric domains are lost, pause and return, with complete daemons.
 */
package org.vanillalink.control.simulation

import kotlin.test.Test

class GroupOperationScenarios {
    private val group = "ikeja/brief-writer/0"

    @Test
    fun `a dead member is replaced by a spare`() = siteScenario("a member dies") {
        at(1.seconds) { host(memberOf(group, 1)).kill() }
        at(4.seconds) { scenario.check(!servesEverywhere(group)) { "a group without a member serves" } }
        expect { awaitServing(group, 10.seconds) }
    }

    @Test
    fun `a dead member is replaced by a spare while the platform is down`() =
        siteScenario("a member dies while the platform is down") {
            at(1.seconds) { platform.becomeUnavailable() }
            at(2.seconds) { host(memberOf(group, 1)).kill() }
            at(5.seconds) { scenario.check(!servesEverywhere(group)) { "a group without a member serves" } }
            expect { awaitServing(group, 10.seconds) }
        }

    @Test
    fun `two groups that lose a member each don't share the one spare`() = siteScenario("two members, one spare") {
        val groups = listOf(group, "ikeja/brief-writer/1")
        siteSize { groupsPerFailureDomain = 2 }
        at(1.seconds) { groups.forEach { host(memberOf(it, 1)).kill() } }
        at(4.seconds) { scenario.check(groups.none(::servesEverywhere)) { "a group without a member serves" } }
        at(
            20.seconds,
        ) { scenario.check(groups.count(::servesEverywhere) == 1) { "expected one complete group of three hosts" } }
    }

    @Test
    fun `a healthy group keeps serving at every daemon while links lose messages`() = siteScenario("links are slow") {
        at(1.seconds) { network.behaviour = network.behaviour.copy(lossProbability = 0.05) }
        at(20.seconds) { network.behaviour = network.behaviour.copy(lossProbability = 0.0) }
        at(23.seconds) { scenario.check(servesEverywhere(group)) { "the group does not serve at every daemon" } }
        expect { checkKeepsServing(group, 20.seconds) }
    }

    @Test
    fun `a paused member stops its group and does no harm when it resumes`() = siteScenario("a member pauses") {
        at(1.seconds) { pauseMember(group, 1) }
        at(5.seconds) { scenario.check(!servesEverywhere(group)) { "a group with a silent member serves" } }
        at(20.seconds) { targets.values.filter { it.isPaused }.forEach { it.resume() } }
        expect { awaitServing(group, 20.seconds) }
    }

    // A sound member may be silent for a moment; cutting its group's streams for that would lose them (LOST).
    @Test
    fun `a member that pauses for a moment costs its group no attempts`() = siteScenario("a member pauses briefly") {
        at(1.seconds) { pauseMember(group, 1) }
        at(2.seconds.plusMillis(600)) { targets.values.filter { it.isPaused }.forEach { it.resume() } }
        at(8.seconds) {
            val ended = daemons.flatMap { it.hostsWithEndedAttempts }
            scenario.check(ended.isEmpty()) { "attempts were ended at $ended" }
        }
        expect { awaitServing(group, 1.seconds) }
    }

    @Test
    fun `the attempts of a group whose member stays silent end`() = siteScenario("a member stays silent") {
        at(1.seconds) { pauseMember(group, 1) }
        at(8.seconds) {
            scenario.check(daemonsOf("ikeja").all { it.hostsWithEndedAttempts.isNotEmpty() }) { "no attempts ended" }
        }
    }

    @Test
    fun `a group moves to another fabric domain when its own is lost`() = siteScenario("a fabric domain goes dark") {
        siteSize { fabricDomains = 2 }
        at(1.seconds) {
            val fabric = host(memberOf(group, 0)).host.fabricDomain
            targets.values.filter { it.host.fabricDomain == fabric }.forEach { it.kill() }
        }
        at(4.seconds) { scenario.check(!servesEverywhere(group)) { "a group whose fabric domain is lost serves" } }
        expect { awaitServing(group, 15.seconds) }
    }
}
