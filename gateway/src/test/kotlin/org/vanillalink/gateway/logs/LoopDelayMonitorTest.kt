package org.vanillalink.gateway.logs

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.model.DaemonId
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals

internal class LoopDelayMonitorTest {
    private val registry = SimpleMeterRegistry()
    private val testSubject =
        LoopDelayMonitor("traffic", registry, EventLogger(DaemonId("a")) { 0 }) { ProcessUsage() }

    @Test
    fun `work that starts when it is due has no delay`() {
        testSubject.recordStart(dueAt = 50, now = 50)

        assertEquals(0, testSubject.recentMaxMilliseconds)
    }

    @Test
    fun `the maximum delay is kept for one to two seconds`() {
        testSubject.recordStart(dueAt = 2_000, now = 2_300)
        testSubject.recordStart(dueAt = 2_350, now = 2_360)

        assertEquals(300, testSubject.recentMaxMilliseconds)

        testSubject.recordStart(dueAt = 3_400, now = 3_405)
        testSubject.recordStart(dueAt = 4_500, now = 4_505)

        assertEquals(5, testSubject.recentMaxMilliseconds)
    }

    @Test
    fun `each delay is recorded under the name of its loop`() {
        testSubject.recordStart(dueAt = 50, now = 350)

        val timer = registry.get("vanillalink.loop.delay").tag("loop", "traffic").timer()
        assertEquals(300.0, timer.totalTime(TimeUnit.MILLISECONDS))
    }
}
