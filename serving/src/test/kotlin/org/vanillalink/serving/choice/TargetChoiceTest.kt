package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

internal class TargetChoiceTest {
    private val testSubject = TargetChoice(Random(1))

    @Test
    fun `the target with the least work is chosen`() {
        val candidates = listOf(Candidate(A, 5, 20, true), Candidate(B, 2, 20, true))
        assertEquals(B, testSubject.choose(candidates)?.target)
    }

    @Test
    fun `a slow target counts as having more work`() {
        val candidates = listOf(Candidate(A, 5, 20, true), Candidate(B, 2, 20, true, pace = 4.0))
        assertEquals(A, testSubject.choose(candidates)?.target)
    }

    @Test
    fun `full targets and cold ones without allowance are passed over`() {
        assertNull(testSubject.choose(listOf(Candidate(A, 20, 20, true), Candidate(B, 0, 20, false))))
    }

    @Test
    fun `the streams of a lost group don't all move to the one least used`() {
        val inFlight = mapOf("a" to 1, "b" to 3, "c" to 4, "d" to 9)
        val candidates = inFlight.map { (id, count) -> Candidate(HostId(id), count, 20, true) }
        val chosen = (1..200).mapNotNull { testSubject.choose(candidates, spread = 3)?.target?.value }.toSet()
        assertEquals(setOf("a", "b", "c"), chosen)
    }

    private companion object {
        val A = HostId("a")
        val B = HostId("b")
    }
}
