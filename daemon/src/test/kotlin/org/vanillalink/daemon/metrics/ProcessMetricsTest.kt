/*
 * Metrics of the process.
 */
package org.vanillalink.daemon.metrics

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.vanillalink.daemon.control.ControlThread
import java.lang.ref.WeakReference
import java.util.concurrent.CountDownLatch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ProcessMetricsTest {
    @Test
    fun `the control thread's time and the requests in progress are told after a garbage collection`() {
        val registry = SimpleMeterRegistry()
        ControlThread().use { thread ->
            register(registry, thread)
            val done = CountDownLatch(2)
            repeat(2) { thread.execute { done.countDown() } }
            done.await()

            collectGarbage()

            assertEquals(1.0, registry.get("vanillalink.requests.in.progress").gauge().value())
            val busy = registry.get("vanillalink.control.busy.seconds").functionCounter().count()
            assertTrue(busy > 0.0, "busy for $busy s")
        }
    }

    /** The count is kept by an object that nobody else refers to. */
    private fun register(
        registry: SimpleMeterRegistry,
        thread: ControlThread,
    ) {
        val counts = mutableListOf(1)
        ProcessMetrics.register(registry, thread) { counts.first() }
    }

    /** A collection is what the test is about: the registry's weak references go with it. */
    @Suppress("ExplicitGarbageCollectionCall")
    private fun collectGarbage() {
        val witness = WeakReference(Any())
        while (witness.get() != null) System.gc()
    }
}
