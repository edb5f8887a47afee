/*
 * Scenarios with loss of members, a fabric domain, the platform and the controller, on virtual time.
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
        check(testSubject.servingGroups().size == 2) { "expected both groups to serve" }
        check(lost !in members && fabricDomains.size == 1) { "unexpected members: $members" }
    }

    @Test
    fun `groups of a failed fabric domain move to another one`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(4, 4, 4), groups = 2)
        val home =
            testSubject.targets
                .getValue(testSubject.membersOf("model/0")[0])
                .host.fabricDomain

        testSubject.killFabricDomain(home.value)
        testSubject.run(60)

        check(testSubject.servingGroups().size == 2) { "expected both groups to serve" }
    }

    @Test
    fun `a group that can't be completed does not delay the loads of one that can`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(9, 9), groups = 3)

        testSubject.killFabricDomain("f0")
        testSubject.run(60)

        check(testSubject.servingGroups().size == 2) { "serving: ${testSubject.servingGroups()}" }
    }

    @Test
    fun `one complete group is formed from two incomplete ones without spares`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(8), groups = 2)

        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.kill(testSubject.membersOf("model/1")[3])
        testSubject.run(40)

        check(testSubject.servingGroups().size == 1) { "serving: ${testSubject.servingGroups()}" }
    }

    @Test
    fun `a restarted member rejoins its group with a new generation`() = forEachSeed(seeds) {
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
    fun `a leaving member and a straggler are replaced when spares are available`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(6), groups = 1)
        val (slow, leaving) = testSubject.membersOf("model/0")

        testSubject.targets.values.forEach { it.tokensPerSecond = if (it.host.id == slow) 10.0 else 100.0 }
        testSubject.leave(leaving)
        testSubject.run(60)

        val members = testSubject.membersOf("model/0")
        check(slow !in members && leaving !in members) { "unexpected members: $members" }
        check(testSubject.servingGroups().size == 1) { "the group does not serve" }
    }

    @Test
    fun `a spare claimed in advance replaces a member while the platform is down and its row is written later`() =
        forEachSeed(seeds) {
            val testSubject = formGroups(this, listOf(5), groups = 1)
            testSubject.table.behaviour = StoreBehaviour.UNAVAILABLE
            testSubject.run(5)

            testSubject.kill(testSubject.membersOf("model/0")[0])
            testSubject.run(20)

            check(testSubject.servingGroups().size == 1) { "the group does not serve while the platform is down" }
            testSubject.table.behaviour = StoreBehaviour.ANSWERS
            testSubject.run(10)
            check(
                testSubject.membersOf("model/0").all { testSubject.claimOf(it).group == firstGroup },
            ) { "the claims of the members are not written" }
        }

    @Test
    fun `a repair waits for the platform when no spare was claimed in advance`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1, GroupSettings(claimsSparesInAdvance = false))
        testSubject.table.behaviour = StoreBehaviour.UNAVAILABLE
        testSubject.run(5)

        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.run(30)

        check(testSubject.servingGroups().isEmpty()) { "the group serves with a spare that no controller owned" }
        testSubject.table.behaviour = StoreBehaviour.ANSWERS
        testSubject.run(30)
        check(testSubject.servingGroups().size == 1) { "the group is not repaired after the platform is back" }
    }

    @Test
    fun `a new controller takes over a repair that its predecessor made while the platform was down`() =
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
            check(takenOver == repaired) { "expected the repaired group $repaired, got $takenOver" }
            check(testSubject.servingGroups().size == 1) { "the group does not serve" }
            check(
                takenOver.members.all { testSubject.claimOf(it).generation == takenOver.generation },
            ) { "the claims of the members are not written" }
        }

    @Test
    fun `a controller that resumes after a takeover changes nothing, with and without fencing checks by targets`() =
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

                check(previous.state.heldFencingNumber == null) { "the previous controller still holds control" }
                check(
                    testSubject.controller.state.descriptions
                        .toSet() == before,
                ) { "the groups changed after the previous controller resumed" }
                check(testSubject.servingGroups().size == 2) { "expected both groups to serve" }
            }
        }

    @Test
    fun `a partitioned controller that continues repairs never shares a host with its successor`() =
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
                    "control did not pass from the previous controller to its successor"
                }
                check(testSubject.servingGroups(successor).size == 2) { "expected both groups to serve" }
            }
        }

    @Test
    fun `another daemon takes control soon after a controller shuts down`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1)
        val previous = testSubject.controller

        previous.feed(ControlEvent.ShuttingDown)
        testSubject.run(5)

        check(previous.state.heldFencingNumber == null) { "the previous controller still holds control" }
        check(otherDaemon(testSubject, previous).state.heldFencingNumber != null) { "no other daemon took control" }
    }

    @Test
    fun `exactly one of several daemons that compete for control gains it`() = forEachSeed(1L..50L) {
        val service = DesiredService(FakeDomain.SERVICE, 4, 1)
        val testSubject = FakeDomain(this, listOf(4), listOf(service), daemons = 4)

        testSubject.run(5)

        check(testSubject.daemons.count { it.state.heldFencingNumber != null } == 1) { "expected one controller" }
    }

    @Test
    fun `the number of hosts that load weights at the same time is limited`() = forEachSeed(seeds) {
        val services = listOf(DesiredService(FakeDomain.SERVICE, 4, 3))
        val testSubject = FakeDomain(this, listOf(12), services, settings = GroupSettings(maxConcurrentWeightLoads = 3))

        every(Duration.ofMillis(100)) {
            val loading = testSubject.targets.values.count { it.phase == TargetPhase.LOADING }
            check(loading <= 3) { "$loading hosts load weights at the same time, expected at most 3" }
        }
        testSubject.run(80)

        check(testSubject.servingGroups().size == 3) { "expected all three groups to serve" }
    }

    @Test
    fun `a write whose response is lost is recognised and leaves one owner for each host`() = forEachSeed(seeds) {
        val testSubject = formGroups(this, listOf(5), groups = 1)
        val held = testSubject.controller.state.heldFencingNumber
        testSubject.table.behaviour = StoreBehaviour.LOSES_ANSWERS
        testSubject.kill(testSubject.membersOf("model/0")[0])
        testSubject.run(20)

        check(testSubject.servingGroups().size == 1) { "the group does not serve" }
        testSubject.table.behaviour = StoreBehaviour.ANSWERS
        testSubject.run(20)

        check(testSubject.controller.state.heldFencingNumber == held) { "control was lost to the holder's own write" }
        check(
            testSubject.membersOf("model/0").all { testSubject.claimOf(it).group == firstGroup },
        ) { "the claims of the members are not written" }
    }

    @Test
    fun `lost, delayed, duplicated and reordered messages only delay a repair`() = forEachSeed(seeds) {
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

        check(testSubject.servingGroups().size == 1) { "the group does not serve" }
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
        scenario.check(domain.servingGroups().size == groups) { "the groups were not formed" }
        return domain
    }
}
