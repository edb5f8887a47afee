package org.vanillalink.serving.control

import org.vanillalink.serving.targets.MemberState
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Groups with members or heads that don't answer for a while, or not any more. */
internal class SilentMemberScenarios {
    // Guards against cutting the streams of a group with a spare beside it since a member of it, sound, is silent for
    // a second or so (LOST beside a change of the configuration, issue 40).
    @Test
    fun `a busy group with a silent member and a spare keeps its streams`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        listOf(group.members.first(), group.members.last()).forEach { silent ->
            fleet.runners.getValue(group.members.first()).busyUntil = fleet.now + 5_000
            fleet.stayUnresponsive(silent, group.key, milliseconds = 1_500)
            fleet.run(3_500)
        }

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(fleet.serving().any { it.key == group.key })
    }

    // The other side: callers give up a stream after a pause of two seconds, so the group of a member that stays silent
    // is replaced soon after that.
    @Test
    fun `a busy group whose member stays silent is replaced soon after its callers have gone`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.runners.getValue(group.members.first()).busyUntil = Long.MAX_VALUE
        val lostAt = fleet.now
        fleet.loseMember(group.members.last())
        fleet.runUntil(10_000) { fleet.serving().any { it.model == "large" && it.key != group.key } }

        assertTrue(fleet.now - lostAt in 2_000..3_500, "took ${fleet.now - lostAt} ms")
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against a group that is repaired late although its streams have gone on elsewhere: its head is asked
    // again.
    @Test
    fun `a group with a silent member is replaced soon after its streams have left`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.runners.getValue(group.members.first()).busyUntil = fleet.now + 1_200
        val lostAt = fleet.now
        fleet.loseMember(group.members.last())
        fleet.runUntil(10_000) { fleet.serving().any { it.model == "large" && it.key != group.key } }

        assertTrue(fleet.now - lostAt in 1_200..1_200 + 300 + 500 + 500, "took ${fleet.now - lostAt} ms")
        assertEquals(emptyList(), fleet.cuts)
    }

    // Guards against cutting streams since the daemon itself was paused: nobody has asked the member meanwhile
    // (issue 40).
    @Test
    fun `a pause of the daemon does not count as the silence of a member`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.runners.getValue(group.members.first()).busyUntil = fleet.now + 6_000
        fleet.stayUnresponsive(group.members.last(), group.key, milliseconds = 1_250)
        fleet.now += 1_500
        fleet.run(3_000)

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(fleet.serving().any { it.key == group.key })
    }

    // Guards against requests to an opened group whose member is silent, since the registry doesn't list it yet.
    @Test
    fun `an opened group that is not listed yet is not announced while a member is silent`() {
        val fleet = settledFleet(mapOf("d0" to 9))
        fleet.freezeRegistry()
        val lost = fleet.serving().first { it.model == "large" }
        fleet.loseMember(lost.members.last())
        fleet.runUntil(3_000) { fleet.serving().any { it.model == "large" && it.key != lost.key } }
        val formed = fleet.serving().first { it.model == "large" }
        fleet.runners.getValue(formed.members.first()).busyUntil = fleet.now + 5_000
        fleet.stayUnresponsive(formed.members.last(), formed.key, milliseconds = 1_000)

        assertTrue(fleet.serving().none { it.key == formed.key })
        assertEquals(emptyList(), fleet.cuts)
    }

    // Guards against members that are never used again, since the head of an earlier controller's group has left it and
    // its entry doesn't show that.
    @Test
    fun `a daemon that takes over uses the members of a head that has left the group of its entry`() {
        val fleet = FakeFleet(mapOf("d0" to 8))
        fleet.runUntil(12_000) { fleet.runners.values.any { it.members.size > 2 && it.isReadyHead() } }
        val head = fleet.runners.values.first { it.members.size > 2 && it.isReadyHead() }
        fleet.disconnectFromRegistry(head.id)
        head.membership = null
        head.openAt = null
        fleet.takeOver()
        val elapsed = fleet.runUntil(20_000) { fleet.serving().any { it.model == "large" } }

        assertTrue(elapsed <= 6_000, "took $elapsed ms")
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against giving up two groups for one spare, as each takes it for its own.
    @Test
    fun `two groups that lose a member at once are not given up for the same spare`() {
        val fleet = settledFleet(mapOf("d0" to 10))
        val groups = fleet.serving().filter { it.model == "small" }
        val spares = fleet.runners.keys - fleet.members()
        assertEquals(2 to 2, groups.size to spares.size)
        fleet.stopResponding(spares.first())
        fleet.run(ENTRY_EXPIRY_MILLISECONDS + 2_000)
        fleet.orders.clear()
        groups.forEach { fleet.stopResponding(it.members.last()) }
        fleet.run(300)
        groups.forEach { fleet.process(GroupEvent.GroupSuspected(it.key, fleet.view())) }
        fleet.runUntil(2_000) { fleet.state.dissolutions.isNotEmpty() }

        assertEquals(1, fleet.state.dissolutions.size)
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against joining the members of an open group elsewhere, since its head has been missing from the registry
    // for a while (TWO, review/3): it may serve behind a cut.
    @Test
    fun `the members of a head that a daemon has never seen listed leave before they are used elsewhere`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.runners.getValue(group.members.first()).isUnlisted = true
        fleet.keepsRemovedEntries = false
        fleet.takeOver()
        fleet.run(12_000)

        assertEquals(emptyList(), fleet.violations)
        assertTrue(fleet.serving().any { it.model == "large" && it.key != group.key })
    }

    // Guards against joining the members of a head elsewhere that neither is listed nor answers, but serves behind a
    // cut of its own (TWO).
    @Test
    fun `the members of a head behind a cut of its own leave before they are used elsewhere`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        val head = fleet.runners.getValue(group.members.first())
        head.isUnlisted = true
        head.isUnresponsive = true
        fleet.process(GroupEvent.GroupSuspected(group.key, fleet.view()))
        fleet.run(8_000)

        assertTrue(head.isOpen())
        assertEquals(emptyList(), fleet.violations)
        assertTrue(fleet.serving().any { it.model == "large" && it.key != group.key })
    }

    // Guards against members that load another model as soon as the first of them has left, so that they can't form
    // a group any more when the last one has (scale-1 of vidal-cortes: 30 s without the group).
    @Test
    fun `the members of a head that is gone form a group again before they load another model`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.orderDelay = { target, order ->
            val isFirst = fleet.orders.count { it == target to order } < 2
            if (isFirst && order is GroupOrder.Leave && target == group.members[2]) 900 else null
        }
        fleet.crash(group.members.first())
        fleet.runUntil(15_000) { fleet.serving().any { it.model == "large" && it.key != group.key } }
        val survivors = group.members.drop(1)

        assertTrue(
            fleet
                .serving()
                .first { it.model == "large" }
                .members
                .containsAll(survivors),
        )
        assertEquals(emptyList(), fleet.orders.filter { it.first in survivors && it.second is GroupOrder.Stage })
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against orders to leave that are sent again and again (12,826 on a quiet day of a trial), since a member
    // was released from two groups one after the other.
    @Test
    fun `a member leaves each of two groups whose heads are gone once`() {
        val fleet = settledFleet(mapOf("d0" to 9))
        repeat(2) {
            val group = fleet.serving().first { it.model == "large" }
            fleet.crash(group.members.first())
            fleet.runUntil(15_000) { fleet.serving().any { it.model == "large" && it.key != group.key } }
        }
        fleet.run(10_000)
        val orders = fleet.orders.filter { it.second is GroupOrder.Leave && !fleet.runners.getValue(it.first).isDead }

        assertEquals(orders.toSet().size, orders.size, "$orders")
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against a crashed head that is never replaced, as its refusals are faster than the report that shows that
    // the path works (issue 37).
    @Test
    fun `a head whose host refuses connections is replaced once it is not listed`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.crash(group.members.first())
        val elapsed = fleet.runUntil(20_000) { fleet.serving().any { it.model == "large" && it.key != group.key } }

        assertTrue(elapsed <= ENTRY_EXPIRY_MILLISECONDS + 4_000, "took $elapsed ms")
        assertEquals(emptyList(), fleet.violations)
    }

    private fun FakeRunner.isReadyHead() = membership?.rank == 0 && membership?.state == MemberState.READY

    private companion object {
        /** Three heartbeats. */
        const val ENTRY_EXPIRY_MILLISECONDS = 3_600L
    }
}
