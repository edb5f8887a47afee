package org.vanillalink.gateway.control

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class DecisionHoldOffTest {
    private val testSubject = DecisionHoldOff(startedAt = 0)

    @Test
    fun `decisions are held off until peers' messages can have been received`() {
        recordTicks(from = 0, until = 350)
        assertFalse(testSubject.isOver(350))
        recordTicks(from = 400, until = 400)
        assertTrue(testSubject.isOver(400))
    }

    // Guards against orders by a process that was paused while another daemon took control: responses queued during the
    // pause are processed before any message of a peer.
    @Test
    fun `after a pause of the process decisions are held off both before and right after the next tick`() {
        recordTicks(from = 0, until = 1_000)

        assertFalse(testSubject.isOver(4_000))
        testSubject.recordTick(4_000)
        assertFalse(testSubject.isOver(4_001))
        recordTicks(from = 4_050, until = 4_400)
        assertTrue(testSubject.isOver(4_400))
    }

    @Test
    fun `a slightly late tick does not count as a pause`() {
        recordTicks(from = 0, until = 1_000)
        testSubject.recordTick(1_450)
        assertTrue(testSubject.isOver(1_450))
    }

    @Test
    fun `after a store outage the hold-off is twice as long`() {
        recordTicks(from = 0, until = 1_000)
        testSubject.onStoreRegained(1_000)
        recordTicks(from = 1_050, until = 1_750)
        assertFalse(testSubject.isOver(1_750))
        recordTicks(from = 1_800, until = 1_800)
        assertTrue(testSubject.isOver(1_800))
    }

    // Guards against control that is taken from live peers by a daemon that didn't read their messages (issue 40).
    @Test
    fun `while the traffic thread is paused and right after it decisions are held off`() {
        recordTicks(from = 0, until = 1_000)
        (1_050L..1_600 step TICK_MILLISECONDS).forEach { now ->
            testSubject.recordTick(now)
            testSubject.recordTrafficThread(lastRanAt = 1_000, now)
        }
        assertFalse(testSubject.isOver(1_600))
        recordTicks(from = 1_650, until = 1_950)
        assertFalse(testSubject.isOver(1_950))
        recordTicks(from = 2_000, until = 2_000)
        assertTrue(testSubject.isOver(2_000))
    }

    @Test
    fun `a slightly late traffic thread does not count as paused`() {
        recordTicks(from = 0, until = 1_000)
        testSubject.recordTrafficThread(lastRanAt = 550, now = 1_000)
        assertTrue(testSubject.isOver(1_000))
    }

    private fun recordTicks(
        from: Long,
        until: Long,
    ) = (from..until step TICK_MILLISECONDS).forEach(testSubject::recordTick)

    private companion object {
        const val TICK_MILLISECONDS = 50L
    }
}
