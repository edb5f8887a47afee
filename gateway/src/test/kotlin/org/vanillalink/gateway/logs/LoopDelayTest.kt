package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.model.DaemonId
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

internal class LoopDelayTest {
    private val registry = SimpleMeterRegistry()
    private val testSubject =
        LoopDelay("traffic", registry, EventLines(DaemonId("a")) { 0 }) { ProcessUsage() }

    @Test
    fun `work that begins when it is due has no delay`() {
        testSubject.began(due = 50, now = 50)

        assertEquals(0, testSubject.recent)
    }

    @Test
    fun `the greatest delay of late is kept for a second and then forgotten`() {
        testSubject.began(due = 2_000, now = 2_300)
        testSubject.began(due = 2_350, now = 2_360)

        assertEquals(300, testSubject.recent)

        testSubject.began(due = 3_400, now = 3_405)
        testSubject.began(due = 4_500, now = 4_505)

        assertEquals(5, testSubject.recent)
    }

    @Test
    fun `each delay is counted by its loop`() {
        testSubject.began(due = 50, now = 350)

        val timer = registry.get("vanillalink.loop.delay").tag("loop", "traffic").timer()
        assertEquals(300.0, timer.totalTime(TimeUnit.MILLISECONDS))
    }
}
