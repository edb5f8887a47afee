package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class DecisionPauseTest {
    private val testSubject = DecisionPause(startedAt = 0)

    @Test
    fun `nothing is decided before peers could be heard`() {
        run(from = 0, until = 350)
        assertFalse(testSubject.isOver(350))
        run(from = 400, until = 400)
        assertTrue(testSubject.isOver(400))
    }

    // Guards against a paused process that acts on a control which has passed to another daemon meanwhile (letter 4).
    @Test
    fun `an answer that waited for a paused process decides nothing, neither before nor right after the loop runs`() {
        run(from = 0, until = 1_000)

        assertFalse(testSubject.isOver(4_000))
        testSubject.ticked(4_000)
        assertFalse(testSubject.isOver(4_001))
        run(from = 4_050, until = 4_400)
        assertTrue(testSubject.isOver(4_400))
    }

    @Test
    fun `a loop that is somewhat late is not a pause`() {
        run(from = 0, until = 1_000)
        testSubject.ticked(1_450)
        assertTrue(testSubject.isOver(1_450))
    }

    @Test
    fun `peers that the store answers again get twice the time to say so`() {
        run(from = 0, until = 1_000)
        testSubject.storeRegained(1_000)
        run(from = 1_050, until = 1_750)
        assertFalse(testSubject.isOver(1_750))
        run(from = 1_800, until = 1_800)
        assertTrue(testSubject.isOver(1_800))
    }

    private fun run(
        from: Long,
        until: Long,
    ) = (from..until step TICK).forEach(testSubject::ticked)

    private companion object {
        const val TICK = 50L
    }
}
