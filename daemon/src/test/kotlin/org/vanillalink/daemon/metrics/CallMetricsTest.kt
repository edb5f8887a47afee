/*
 * What is counted of refusals.
 */
package org.vanillalink.daemon.metrics

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.model.Refusal
import org.vanillalink.model.RefusalOutcome
import org.vanillalink.model.RefusalReason
import org.vanillalink.model.ServiceName
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals

class CallMetricsTest {
    private val registry = SimpleMeterRegistry()
    private val testSubject = CallMetrics(registry)
    private val service = ServiceName("brief-writer")
    private val refusal = Refusal(RefusalReason.OVERLOADED, RefusalOutcome.NOT_RUN, "")

    @Test
    fun `seconds and minutes with a refusal are counted once each`() {
        listOf(0L, 0L, 1L, 59L, 60L).forEach { testSubject.refused(service, refusal, Instant.ofEpochSecond(it)) }

        assertEquals(5.0, count("vanillalink.refusals"))
        assertEquals(4.0, count("vanillalink.refusal.seconds"))
        assertEquals(2.0, count("vanillalink.refusal.minutes"))
    }

    @Test
    fun `a refusal before the service is known has no label from the caller`() {
        testSubject.refused(null, refusal, Instant.EPOCH)

        val labels =
            registry.meters
                .flatMap { it.id.tags }
                .filter { it.key == "service" }
                .map { it.value }
        assertEquals(setOf("unknown"), labels.toSet())
    }

    private fun count(name: String): Double = registry.get(name).counter().count()
}
