/*
 * Members and fabric domains are lost, pause and return, below whole daemons.
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
        ) { scenario.check(groups.count(::servesEverywhere) == 1) { "not one whole group of three hosts" } }
    }

    @Test
    fun `an untroubled group goes on serving at every daemon while links are slow now and then`() =
        siteScenario("links are slow") {
            at(1.seconds) { network.behaviour = network.behaviour.copy(lossProbability = 0.05) }
            at(20.seconds) { network.behaviour = network.behaviour.copy(lossProbability = 0.0) }
            at(23.seconds) { scenario.check(servesEverywhere(group)) { "the group doesn't serve everywhere" } }
            expect { checkKeepsServing(group, 20.seconds) }
        }

    @Test
    fun `a paused member stops its group and is harmless when it wakes`() = siteScenario("a member pauses") {
        at(1.seconds) { pauseMember(group, 1) }
        at(5.seconds) { scenario.check(!servesEverywhere(group)) { "a group with a silent member serves" } }
        at(20.seconds) { targets.values.filter { it.isPaused }.forEach { it.resume() } }
        expect { awaitServing(group, 20.seconds) }
    }

    @Test
    fun `a group moves to another fabric domain when its own goes dark`() = siteScenario("a fabric domain goes dark") {
        siteSize { fabricDomains = 2 }
        at(1.seconds) {
            val fabric = host(memberOf(group, 0)).host.fabricDomain
            targets.values.filter { it.host.fabricDomain == fabric }.forEach { it.kill() }
        }
        at(4.seconds) { scenario.check(!servesEverywhere(group)) { "a group in the dark serves" } }
        expect { awaitServing(group, 15.seconds) }
    }
}
