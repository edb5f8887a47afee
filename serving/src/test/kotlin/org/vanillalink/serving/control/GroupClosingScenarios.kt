package org.vanillalink.serving.control

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.MemberState
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Planned changes of the members of groups whose heads have requests in flight. */
internal class GroupClosingScenarios {
    // Guards against cutting streams that last longer than the time that a planned change used to wait (LOST beside a
    // change of the configuration).
    @Test
    fun `a group whose member leaves completes a stream of seven seconds`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.head(group).busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.runners.getValue(group.members.last()).isLeaving = true
        fleet.run(STREAM_MILLISECONDS + 1_000)

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(fleet.orders.any { it.second == GroupOrder.Leave(group.key) })
        assertEquals(emptyList(), fleet.violations)
    }

    // The same where the head's entry can't show that it closes: its own report has to.
    @Test
    fun `a head that is not listed completes a stream of seven seconds and is ordered to leave soon after`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.head(group).busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.head(group).isUnlisted = true
        fleet.run(STREAM_MILLISECONDS)
        val elapsed = fleet.runUntil(5_000) { fleet.orders.any { it.second == GroupOrder.Leave(group.key) } }

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(elapsed <= 1_000, "took $elapsed ms")
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun `a head whose entry is outdated is ordered to leave soon after it has closed`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.disconnectFromRegistry(group.members.first())
        fleet.runners.getValue(group.members.last()).isLeaving = true
        val elapsed = fleet.runUntil(10_000) { fleet.orders.any { it.second == GroupOrder.Leave(group.key) } }

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(elapsed <= 3_000, "took $elapsed ms")
    }

    // Guards against cutting the streams of a group at once because the registry doesn't list all of it yet.
    @Test
    fun `a group that is not yet listed completes its streams when a member leaves`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val before = fleet.serving().first { it.model == "large" }
        val spares = fleet.runners.keys - fleet.serving().flatMap { it.members }.toSet()
        (spares + before.members).forEach(fleet::disconnectFromRegistry)
        fleet.stopResponding(before.members.last())
        fleet.run(300)
        fleet.process(GroupEvent.GroupSuspected(before.key, fleet.view()))
        fleet.runUntil(5_000) { fleet.serving().any { it.model == "large" && it.key != before.key } }
        val group = fleet.serving().first { it.model == "large" }
        fleet.head(group).busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.announceLeaving(group.members.last())
        fleet.run(STREAM_MILLISECONDS + 3_500)

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(fleet.orders.any { it.second == GroupOrder.Leave(group.key) })
        assertEquals(emptyList(), fleet.violations)
    }

    // The other side: what waits for streams must not hold up a change that has none, or whose head has ended.
    @Test
    fun `a group whose member leaves is replaced soon after its streams are complete`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.head(group).busyUntil = fleet.now + 1_000
        fleet.runners.getValue(group.members.last()).isLeaving = true
        fleet.run(1_000)
        val elapsed = fleet.runUntil(10_000) { fleet.serving().any { it.model == "small" } }

        assertTrue(elapsed <= SMALL_STAGED_MILLISECONDS + 1_000, "took $elapsed ms")
        assertEquals(emptyList(), fleet.cuts)
    }

    @Test
    fun `a head that ends while it closes is replaced soon after`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        val head = fleet.head(group)
        head.busyUntil = Long.MAX_VALUE
        head.isLeaving = true
        fleet.run(2_500)
        head.isUnlisted = true
        fleet.stopResponding(head.id)
        val elapsed = fleet.runUntil(10_000) { fleet.serving().any { it.model == "small" } }

        assertTrue(elapsed <= 3_000 + SMALL_STAGED_MILLISECONDS, "took $elapsed ms")
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun `a head that ended before the order to close is replaced as soon as its entry expires`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.runners.getValue(group.members.last()).isLeaving = true
        fleet.stopResponding(group.members.first())
        val elapsed = fleet.runUntil(10_000) { fleet.serving().any { it.model == "small" } }

        assertTrue(elapsed <= ENTRY_EXPIRY_MILLISECONDS + SMALL_STAGED_MILLISECONDS + 1_000, "took $elapsed ms")
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun `a head that never closes is ordered to leave once its leaving member would be gone`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.head(group).busyUntil = Long.MAX_VALUE
        fleet.runners.getValue(group.members.last()).isLeaving = true
        val elapsed = fleet.runUntil(20_000) { fleet.orders.any { it.second == GroupOrder.Leave(group.key) } }

        assertTrue(elapsed in 10_000..10_500, "took $elapsed ms")
    }

    // Guards against an unlisted head whose silence, while it closes, counts as its end: it may be silent for a while.
    @Test
    fun `an unlisted head that is silent while it closes keeps its members`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        val head = fleet.head(group)
        head.busyUntil = fleet.now + STREAM_MILLISECONDS
        head.isUnlisted = true
        repeat(2) {
            fleet.run(1_500)
            head.isUnresponsive = true
            fleet.run(SILENCE_MILLISECONDS)
            head.isUnresponsive = false
        }

        assertEquals(MemberState.CLOSING, head.membership?.state)
        assertEquals(emptyList(), fleet.cuts)
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against cutting the streams of a group that closes since a member of it is silent for a second or so (LOST
    // beside a change of the configuration).
    @Test
    fun `a group that closes completes its streams although a member is silent for a while`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.head(group).busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.runners.getValue(group.members.last()).isLeaving = true
        fleet.run(500)
        group.members.take(2).forEach { silent ->
            fleet.stayUnresponsive(silent, group.key, SILENCE_MILLISECONDS)
            fleet.run(1_000)
        }

        assertEquals(emptyList(), fleet.cuts)
        assertEquals(emptyList(), fleet.violations)
    }

    // The other side: callers give up a stream after a pause of two seconds or more.
    @Test
    fun `a group that closes is given up when a member stays silent`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "large" }
        fleet.head(group).busyUntil = Long.MAX_VALUE
        fleet.runners.getValue(group.members.last()).isLeaving = true
        fleet.run(500)
        val silentSince = fleet.now
        fleet.stayUnresponsive(group.members[1], group.key, 3_000)
        val leftAt =
            fleet.cuts
                .first()
                .substringBefore(' ')
                .toLong()

        assertTrue(leftAt - silentSince in 1_500..2_500, "took ${leftAt - silentSince} ms")
    }

    // Guards against taking an unlisted head for ended by requests that all overlapped the end of a cut (TWO).
    @Test
    fun `report requests that overlap count as one silence of a head that closes`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.head(group).busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.head(group).isUnlisted = true
        fleet.run(1_500)
        fleet.head(group).isUnresponsive = true
        val other = fleet.runners.values.first { it.id !in group.members }
        val answer = GroupReport(other.bornAt, other.model, setOfNotNull(other.staged), other.membership, 1.0)
        repeat(3) {
            fleet.process(GroupEvent.ReportAnswered(other.id, ReportResult.Answered(answer)))
            fleet.process(GroupEvent.ReportAnswered(group.members.first(), ReportResult.Unresponsive("no answer")))
        }
        fleet.run(100)
        fleet.head(group).isUnresponsive = false
        fleet.run(1_000)

        assertTrue(group.key in fleet.state.dissolutions)
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun `a daemon that takes over lets a closing group complete its streams`() {
        val fleet = settledFleet(mapOf("d0" to 8))
        val group = fleet.serving().first { it.model == "small" }
        fleet.head(group).busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.runners.getValue(group.members.last()).isLeaving = true
        fleet.run(2_000)
        fleet.takeOver()
        fleet.run(STREAM_MILLISECONDS)

        assertEquals(emptyList(), fleet.cuts)
        assertTrue(fleet.serving().any { it.model == "small" && it.key != group.key })
        assertEquals(emptyList(), fleet.violations)
    }

    // Guards against cutting the streams of an open group, since its head's entry is older than its opening when
    // another daemon takes control (LOST beside a planned stop).
    @Test
    fun `a daemon that takes over completes the streams of a head whose entry is older than its opening`() {
        val fleet = FakeFleet(mapOf("d0" to 8))
        fleet.runUntil(12_000) { fleet.largeHead()?.membership?.state == MemberState.READY }
        fleet.disconnectFromRegistry(fleet.largeHead()!!.id)
        fleet.run(2_000)
        fleet.hasTraffic = true
        val head = fleet.largeHead()!!
        assertEquals(MemberState.OPEN, head.membership?.state)
        head.busyUntil = fleet.now + STREAM_MILLISECONDS
        fleet.takeOver()
        fleet.run(STREAM_MILLISECONDS + 3_000)

        assertEquals(emptyList(), fleet.cuts)
        assertEquals(emptyList(), fleet.violations)
    }

    @Test
    fun `no stream is cut while members leave, orders are delayed and control changes`() {
        repeat(SEEDS) { seed -> runPlannedChanges(seed) }
    }

    private fun runPlannedChanges(seed: Int) {
        val random = Random(seed)
        val fleet = settledFleet(mapOf("d0" to 8, "d1" to 8))
        fleet.orderDelay = { _, _ -> if (random.nextInt(6) == 0) random.nextLong(500, 6_000) else null }
        repeat(8) { round ->
            fleet.serving().forEach { fleet.head(it).busyUntil = fleet.now + random.nextLong(STREAM_MILLISECONDS) }
            val groups = fleet.serving()
            if (groups.isNotEmpty()) {
                val group = groups[random.nextInt(groups.size)]
                fleet.leave(group.members[random.nextInt(group.members.size)], group)
            }
            fleet.add("new-$round", "d${round % 2}")
            if (random.nextInt(4) == 0) fleet.takeOver()
            fleet.run(random.nextLong(500, 4_000))
        }
        assertEquals(emptyList(), fleet.cuts + fleet.violations, "seed $seed\n" + fleet.notes.joinToString("\n"))
    }

    /** Lets a member leave, which remains while its head has requests. */
    private fun FakeFleet.leave(
        id: HostId,
        group: AnnouncedGroup,
    ) {
        val runner = runners.getValue(id)
        val endsAt = maxOf(now + DRAIN_MILLISECONDS, head(group).busyUntil)
        if (runner.isLeaving) return
        runner.isLeaving = true
        at(endsAt) {
            runner.isUnlisted = true
            stopResponding(id)
        }
    }

    private fun FakeFleet.largeHead(): FakeRunner? =
        runners.values.firstOrNull { it.members.size > 2 && it.membership?.rank == 0 }

    private fun FakeFleet.head(group: AnnouncedGroup): FakeRunner = runners.getValue(group.members.first())

    private companion object {
        /** The longest streams of the sites take this long at most: the shorter of their routes' times is 6 s. */
        const val STREAM_MILLISECONDS = 7_000L

        /** A sound target may be silent for a second or so. */
        const val SILENCE_MILLISECONDS = 1_300L
        const val SMALL_STAGED_MILLISECONDS = 1_100L

        /** Three heartbeats. */
        const val ENTRY_EXPIRY_MILLISECONDS = 3_600L
        const val DRAIN_MILLISECONDS = 2_000L
        const val SEEDS = 100
    }
}
