/*
 * [GroupReadinessCheck] with single events.
 */
package org.vanillalink.groups

import org.vanillalink.model.BootId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.Generation
import org.vanillalink.model.GroupId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class GroupReadinessCheckTest {
    private val testSubject = GroupReadinessCheck(GroupSettings())
    private val hosts = listOf(HostId("a"), HostId("b"), HostId("c"))
    private val group = GroupId("g")
    private val description =
        GroupDescription(ServiceName("model"), group, Generation(FencingNumber(1), 1), hosts)
    private var state = ServingState()
    private var now = Instant.EPOCH
    private var sequence = 0L

    @Test
    fun `a group serves once every member reports its assignment`() {
        describe(description)

        val before = hosts.dropLast(1).flatMap { report(it) }
        val last = report(hosts.last())

        assertEquals(emptyList(), before)
        assertEquals(listOf(ServingDecision.GroupServing(group, description.generation)), last)
    }

    @Test
    fun `a group stops serving when a member is silent`() {
        makeReady()

        now = now.plus(Duration.ofMillis(1_500))
        report(hosts[0])
        report(hosts[1])
        now = now.plus(Duration.ofSeconds(1))
        val decisions = handle(ServingEvent.Tick)

        assertEquals(listOf(stopped(NotServingReason.MemberSilent(hosts[2]))), decisions)
    }

    @Test
    fun `a report that the target confirmed to a peer again stays fresh`() {
        makeReady()
        val confirmed =
            hosts.map {
                state.reports.byHost
                    .getValue(it)
                    .report
            }

        now = now.plus(Duration.ofMillis(1_500))
        confirmed.forEach { handle(ServingEvent.ReportReceived(ReceivedReport(it, now))) }
        now = now.plus(Duration.ofSeconds(1))
        val decisions = handle(ServingEvent.Tick)

        assertEquals(emptyList(), decisions)
    }

    @Test
    fun `a group does not serve again when a restarted member reports its assignment`() {
        makeReady()

        val decisions = report(hosts[1], boot = "second")
        report(hosts[1], boot = "second")

        assertEquals(listOf(stopped(NotServingReason.MemberRestarted(hosts[1]))), decisions)
        assertIs<GroupStatus.NotServing>(state.groupStatus(group))
    }

    @Test
    fun `a group does not serve again after a late report of the previous boot`() {
        makeReady()
        val late = TargetReport(hosts[1], BootId("first"), 99, TargetPhase.READY, description.assignmentFor(hosts[1]))

        report(hosts[1], boot = "second")
        handle(ServingEvent.ReportReceived(ReceivedReport(late, now)))

        assertIs<GroupStatus.NotServing>(state.groupStatus(group))
    }

    @Test
    fun `a new generation waits for reports of all its members`() {
        makeReady()
        val next = description.copy(generation = Generation(FencingNumber(1), 2))

        val decisions = describe(next)
        describe(description)

        assertEquals(listOf(stopped(NotServingReason.MembersChanged)), decisions)
        assertIs<GroupStatus.NotServing>(state.groupStatus(group))
    }

    @Test
    fun `a loading member keeps the group from serving`() {
        describe(description)
        report(hosts[0])
        report(hosts[1])

        report(hosts[2], phase = TargetPhase.LOADING)

        val expected = NotServingReason.MemberNotReady(hosts[2], TargetPhase.LOADING)
        assertEquals(GroupStatus.NotServing(expected), state.groupStatus(group))
    }

    @Test
    fun `a member far below the median speed makes the group a straggler`() {
        describe(description)
        report(hosts[0], speed = 100.0)
        report(hosts[1], speed = 90.0)
        report(hosts[2], speed = 20.0)

        val decisions = handle(ServingEvent.Tick)

        assertEquals(listOf<ServingDecision>(ServingDecision.StragglerChanged(group, hosts[2])), decisions)
    }

    private fun makeReady() {
        describe(description)
        hosts.forEach { report(it) }
    }

    private fun stopped(reason: NotServingReason): ServingDecision =
        ServingDecision.GroupStoppedServing(group, description.generation, reason)

    private fun describe(description: GroupDescription) = handle(ServingEvent.GroupDescribed(description))

    private fun report(
        host: HostId,
        boot: String = "first",
        phase: TargetPhase = TargetPhase.READY,
        speed: Double = 0.0,
    ): List<ServingDecision> {
        val assignment = description.assignmentFor(host)
        val report = TargetReport(host, BootId(boot), ++sequence, phase, assignment, tokensPerSecond = speed)
        return handle(ServingEvent.ReportReceived(ReceivedReport(report, now)))
    }

    private fun handle(event: ServingEvent): List<ServingDecision> {
        val transition = testSubject.handle(state, event, now)
        state = transition.state
        return transition.decisions
    }
}
