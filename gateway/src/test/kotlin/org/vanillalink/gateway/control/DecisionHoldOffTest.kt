package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class DecisionHoldOffTest {
    private val testSubject = DecisionHoldOff(startedAt = 0)

    @Test
    fun `nothing is decided before peers could be heard`() {
        recordTicks(from = 0, until = 350)
        assertFalse(testSubject.isOver(350))
        recordTicks(from = 400, until = 400)
        assertTrue(testSubject.isOver(400))
    }

    // Guards against a paused process that acts on a control which has passed to another daemon meanwhile (letter 4).
    @Test
    fun `an answer that waited for a paused process decides nothing, neither before nor right after the loop runs`() {
        recordTicks(from = 0, until = 1_000)

        assertFalse(testSubject.isOver(4_000))
        testSubject.recordTick(4_000)
        assertFalse(testSubject.isOver(4_001))
        recordTicks(from = 4_050, until = 4_400)
        assertTrue(testSubject.isOver(4_400))
    }

    @Test
    fun `a loop that is somewhat late is not a pause`() {
        recordTicks(from = 0, until = 1_000)
        testSubject.recordTick(1_450)
        assertTrue(testSubject.isOver(1_450))
    }

    @Test
    fun `peers that the store answers again get twice the time to say so`() {
        recordTicks(from = 0, until = 1_000)
        testSubject.onStoreRegained(1_000)
        recordTicks(from = 1_050, until = 1_750)
        assertFalse(testSubject.isOver(1_750))
        recordTicks(from = 1_800, until = 1_800)
        assertTrue(testSubject.isOver(1_800))
    }

    private fun recordTicks(
        from: Long,
        until: Long,
    ) = (from..until step TICK_MILLISECONDS).forEach(testSubject::recordTick)

    private companion object {
        const val TICK_MILLISECONDS = 50L
    }
}
