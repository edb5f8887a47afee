/*
 * Losses of members, of a fabric domain, of the platform and of the controller, on virtual time.
 */
package org.vanillalink.groups

import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.testing.LinkBehaviour
import org.vanillalink.testing.Scenario
import org.vanillalink.testing.StoreBehaviour
import org.vanillalink.testing.forEachSeed
import java.time.Duration
import kotlin.test.Test

class GroupScenarios {
    private val seeds = 1L..5L
    private val firstGroup = GroupId("${FakeDomain.ID}/${FakeDomain.SERVICE}/0")

    @Test
    fun `a member that dies is replaced by a spare of its fabric domain`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5, 5), groups = 2)
        val lost = testSubject.membersOf("model/0")[1]

        testSubject.kill(lost)
        testSubject.run(20)

        val members = testSubject.membersOf("model/0")
        val fabricDomains =
            members
                .map {
                    testSubject.targets
                        .getValue(it)
                        .host.fabricDomain
                }.toSet()
        check(testSubject.servingGroups().size == 2) { "not both groups serve" }
        check(lost !in members && fabricDomains.size == 1) { "members are $members" }
    }

    @Test
    fun `groups of a dark fabric domain move to another one`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(4, 4, 4), groups = 2)
        val home =
            testSubject.targets
                .getValue(testSubject.membersOf("model/0")[0])
                .host.fabricDomain

        testSubject.killFabricDomain(home.value)
        testSubject.run(60)

        check(testSubject.servingGroups().size == 2) { "not both groups serve" }
    }

    @Test
    fun `a group that can't be made whole doesn't hold up the loads of one that can`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(9, 9), groups = 3)

        testSubject.killFabricDomain("f0")
        testSubject.run(60)

        check(testSubject.servingGroups().size == 2) { "serving: ${testSubject.servingGroups()}" }
    }

    @Test
    fun `two broken groups without spares give one whole group`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(8), groups = 2)

        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.kill(testSubject.membersOf("model/1")[3])
        testSubject.run(40)

        check(testSubject.servingGroups().size == 1) { "serving: ${testSubject.servingGroups()}" }
    }

    @Test
    fun `a restarted member gets its place back under a new generation`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(4), groups = 1)
        val before =
            testSubject.controller.state.descriptions
                .single()
                .generation

        testSubject.restart(testSubject.membersOf("model/0")[2])
        testSubject.run(30)

        val after =
            testSubject.controller.state.descriptions
                .single()
                .generation
        check(testSubject.servingGroups().size == 1 && after > before) { "$before, $after" }
    }

    @Test
    fun `a leaving member and a straggler are replaced while a spare stands by`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(6), groups = 1)
        val (slow, leaving) = testSubject.membersOf("model/0")

        testSubject.targets.values.forEach { it.tokensPerSecond = if (it.host.id == slow) 10.0 else 100.0 }
        testSubject.leave(leaving)
        testSubject.run(60)

        val members = testSubject.membersOf("model/0")
        check(slow !in members && leaving !in members) { "members are $members" }
        check(testSubject.servingGroups().size == 1) { "doesn't serve" }
    }

    @Test
    fun `a spare owned beforehand replaces a member while the platform is down and is written down later`() =
        forEachSeed(seeds) {
            val testSubject = formGroups(this, listOf(5), groups = 1)
            testSubject.table.behaviour = StoreBehaviour.UNAVAILABLE
            testSubject.run(5)

            testSubject.kill(testSubject.membersOf("model/0")[0])
            testSubject.run(20)

            check(testSubject.servingGroups().size == 1) { "doesn't serve while the platform is down" }
            testSubject.table.behaviour = StoreBehaviour.ANSWERS
            testSubject.run(10)
            check(
                testSubject.membersOf("model/0").all { testSubject.claimOf(it).group == firstGroup },
            ) { "not written" }
        }

    @Test
    fun `without owned spares a repair waits for the platform`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1, GroupSettings(claimsSparesInAdvance = false))
        testSubject.table.behaviour = StoreBehaviour.UNAVAILABLE
        testSubject.run(5)

        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.run(30)

        check(testSubject.servingGroups().isEmpty()) { "serves with a spare that nobody owned" }
        testSubject.table.behaviour = StoreBehaviour.ANSWERS
        testSubject.run(30)
        check(testSubject.servingGroups().size == 1) { "not repaired" }
    }

    @Test
    fun `a fresh controller takes over a repair that its predecessor made while the platform was down`() =
        forEachSeed(seeds) {
            val testSubject = formGroups(this, listOf(6), groups = 1)
            testSubject.table.behaviour = StoreBehaviour.UNAVAILABLE
            testSubject.run(5)
            testSubject.kill(testSubject.membersOf("model/0")[0])
            testSubject.run(20)
            val repaired =
                testSubject.controller.state.descriptions
                    .single()
            testSubject.controller.pause()

            testSubject.table.behaviour = StoreBehaviour.ANSWERS
            testSubject.run(30)

            val takenOver =
                testSubject.controller.state.descriptions
                    .single()
            check(takenOver == repaired) { "had $repaired, has $takenOver" }
            check(testSubject.servingGroups().size == 1) { "doesn't serve" }
            check(
                takenOver.members.all { testSubject.claimOf(it).generation == takenOver.generation },
            ) { "not written" }
        }

    @Test
    fun `a controller that wakes after a takeover harms nothing, whether targets check or not`() =
        listOf(true, false).forEach { checksFencing ->
            forEachSeed(seeds) {
                val testSubject = formGroups(this, listOf(6, 5), groups = 2, checksFencing = checksFencing)
                val previous = testSubject.controller
                previous.pause()
                testSubject.kill(testSubject.firstGroupMembers(otherDaemon(testSubject, previous))[1])
                testSubject.run(60)
                val before =
                    testSubject.controller.state.descriptions
                        .toSet()

                previous.resume()
                testSubject.run(40)

                check(previous.state.heldFencingNumber == null) { "the old controller still holds control" }
                check(
                    testSubject.controller.state.descriptions
                        .toSet() == before,
                ) { "the groups changed" }
                check(testSubject.servingGroups().size == 2) { "not both groups serve" }
            }
        }

    @Test
    fun `a cut-off controller that goes on repairing never shares a host with its successor`() =
        listOf(true, false).forEach { checksFencing ->
            forEachSeed(seeds) {
                val testSubject = formGroups(this, listOf(7, 5), groups = 2, checksFencing = checksFencing)
                val previous = testSubject.controller
                previous.isPartitionedFromPlatform = true
                previous.isPartitionedFromPeers = true
                testSubject.run(30)

                testSubject.kill(testSubject.membersOf("model/0")[0])
                testSubject.run(60)

                val successor = otherDaemon(testSubject, previous)
                check(previous.state.heldFencingNumber == null && successor.state.heldFencingNumber != null) {
                    "control didn't change hands"
                }
                check(testSubject.servingGroups(successor).size == 2) { "not both groups serve" }
            }
        }

    @Test
    fun `a controller that shuts down hands control over at once`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1)
        val previous = testSubject.controller

        previous.feed(ControlEvent.ShuttingDown)
        testSubject.run(5)

        check(previous.state.heldFencingNumber == null) { "control wasn't given up" }
        check(otherDaemon(testSubject, previous).state.heldFencingNumber != null) { "nobody took control" }
    }

    @Test
    fun `of two daemons that race for control one gets it`() = forEachSeed(1L..50L) {
        val service = DesiredService(FakeDomain.SERVICE, 4, 1)
        val testSubject = FakeDomain(this, listOf(4), listOf(service), daemons = 4)

        testSubject.run(5)

        check(testSubject.daemons.count { it.state.heldFencingNumber != null } == 1) { "not one controller" }
    }

    @Test
    fun `no more hosts load weights at once than allowed`() = forEachSeed(seeds) {
        val services = listOf(DesiredService(FakeDomain.SERVICE, 4, 3))
        val testSubject = FakeDomain(this, listOf(12), services, settings = GroupSettings(maxConcurrentWeightLoads = 3))

        every(Duration.ofMillis(100)) {
            val loading = testSubject.targets.values.count { it.phase == TargetPhase.LOADING }
            check(loading <= 3) { "$loading hosts load" }
        }
        testSubject.run(80)

        check(testSubject.servingGroups().size == 3) { "not all groups serve" }
    }

    @Test
    fun `a write whose answer is lost is recognised and leaves one owner for each host`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1)
        val held = testSubject.controller.state.heldFencingNumber
        testSubject.table.behaviour = StoreBehaviour.LOSES_ANSWERS
        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.run(20)

        check(testSubject.servingGroups().size == 1) { "doesn't serve" }
        testSubject.table.behaviour = StoreBehaviour.ANSWERS
        testSubject.run(20)

        check(testSubject.controller.state.heldFencingNumber == held) { "control was lost to an own write" }
        check(
            testSubject.membersOf("model/0").all { testSubject.claimOf(it).group == firstGroup },
        ) { "not written" }
    }

    @Test
    fun `lost, late, doubled and reordered messages delay a repair and nothing more`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1)
        val unreliable = LinkBehaviour(Duration.ofMillis(1), Duration.ofMillis(1_500), 0.2, 0.2)
        testSubject.daemons.forEach {
            it.orders.behaviour = unreliable
            it.reports.behaviour = unreliable
        }

        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.run(60)
        testSubject.daemons.forEach {
            it.orders.behaviour = LinkBehaviour()
            it.reports.behaviour = LinkBehaviour()
        }
        testSubject.run(30)

        check(testSubject.servingGroups().size == 1) { "doesn't serve" }
    }

    private fun otherDaemon(
        domain: FakeDomain,
        other: FakeDaemon,
    ): FakeDaemon = domain.daemons.first { it != other }

    private fun FakeDomain.firstGroupMembers(daemon: FakeDaemon): List<HostId> = daemon.serving.descriptions
        .getValue(firstGroup)
        .members

    private fun formGroups(
        scenario: Scenario,
        hosts: List<Int>,
        groups: Int,
        settings: GroupSettings = GroupSettings(),
        checksFencing: Boolean = true,
    ): FakeDomain {
        val service = DesiredService(FakeDomain.SERVICE, 4, groups)
        val domain = FakeDomain(scenario, hosts, listOf(service), checksFencing, settings)
        domain.run(80)
        scenario.check(domain.servingGroups().size == groups) { "the groups weren't formed" }
        return domain
    }
}
