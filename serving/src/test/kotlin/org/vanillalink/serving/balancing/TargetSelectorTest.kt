package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

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
        val inFlight = mapOf("a" to 1, "b" to 3, "c" to 4, "d" to 9)
        val candidates = inFlight.map { (id, count) -> Candidate(HostId(id), count, 20, true) }
        val selected = (1..200).mapNotNull { testSubject.select(candidates, loadTolerance = 3)?.target?.value }.toSet()
        assertEquals(setOf("a", "b", "c"), selected)
    }

    private companion object {
        val FIRST = HostId("a")
        val SECOND = HostId("b")
    }
}
