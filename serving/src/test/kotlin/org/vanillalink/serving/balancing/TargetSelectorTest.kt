package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class TargetSelectorTest {
    private val testSubject = TargetSelector(Random(1))

    @Test
    fun `the target with the least load is selected`() {
        val candidates = listOf(Candidate(FIRST, 5, 20, true), Candidate(SECOND, 2, 20, true))
        assertEquals(SECOND, testSubject.select(candidates)?.target)
    }

    @Test
    fun `a slow target counts as having more load`() {
        val candidates = listOf(Candidate(FIRST, 5, 20, true), Candidate(SECOND, 2, 20, true, slowdownFactor = 4.0))
        assertEquals(FIRST, testSubject.select(candidates)?.target)
    }

    @Test
    fun `full targets and cold ones at their rate limit are skipped`() {
        assertNull(testSubject.select(listOf(Candidate(FIRST, 20, 20, true), Candidate(SECOND, 0, 20, false))))
    }

    @Test
    fun `the streams of a lost group don't all move to the target with the least load`() {
        val inFlight = mapOf("a" to 1, "b" to 3, "c" to 4, "d" to 19)
        val selected = selectOften(inFlight, concurrentRequests = 12.0)

        assertEquals(setOf("a", "b", "c"), selected.keys)
        assertTrue(selected.getValue("a") > selected.getValue("c"), "$selected")
    }

    @Test
    fun `requests that others send meanwhile fill up the targets to the same level`() {
        val inFlight = mapOf("a" to 0, "b" to 4, "c" to 8)
        val selected = selectOften(inFlight, concurrentRequests = 11.0)

        inFlight.forEach { (target, count) ->
            assertEquals(8.0, count + (selected[target] ?: 0) * 12.0 / SELECTIONS, absoluteTolerance = 0.5)
        }
    }

    // Guards against streams between failure domains while targets nearby have room.
    @Test
    fun `a target in another failure domain is selected only if those nearby have much more load`() {
        val far = Candidate(SECOND, 2, 20, true, distance = 8.0)

        assertEquals(FIRST, testSubject.select(listOf(Candidate(FIRST, 8, 20, true), far))?.target)
        assertEquals(SECOND, testSubject.select(listOf(Candidate(FIRST, 14, 20, true), far))?.target)
        assertEquals(SECOND, testSubject.select(listOf(Candidate(FIRST, 20, 20, true), far))?.target)
    }

    // Guards against late first events everywhere: in a burst, the known counts are always too low.
    @Test
    fun `a target is full when it probably has as many requests by now`() {
        assertNull(testSubject.select(listOf(Candidate(FIRST, 19, 20, true, expectedInFlight = 20.5))))
        assertNull(testSubject.select(listOf(Candidate(FIRST, 20, 20, true, expectedInFlight = 12.0))))
    }

    // Guards against refusals by an estimate alone.
    @Test
    fun `a target that is known to have much room takes a request in any case`() {
        val candidate = Candidate(FIRST, 9, 20, true, expectedInFlight = 22.0)

        assertEquals(FIRST, testSubject.select(listOf(candidate), concurrentRequests = 12.0)?.target)
    }

    @Test
    fun `requests that take no time leave an estimate`() {
        val counts = InFlightCounts()
        counts.recordPeerCounts(DaemonId("peer"), mapOf(FIRST to 3), now = 0, validForMilliseconds = 1_000)

        assertEquals(3.0, counts.estimate(setOf(FIRST), requestMilliseconds = 0.0, now = 0).at(FIRST))
    }

    private fun selectOften(
        inFlight: Map<String, Int>,
        concurrentRequests: Double,
    ): Map<String, Int> {
        val candidates = inFlight.map { (id, count) -> Candidate(HostId(id), count, 20, true) }
        return (1..SELECTIONS)
            .mapNotNull { testSubject.select(candidates, concurrentRequests)?.target?.value }
            .groupingBy { it }
            .eachCount()
    }

    private companion object {
        const val SELECTIONS = 4_000
        val FIRST = HostId("a")
        val SECOND = HostId("b")
    }
}
