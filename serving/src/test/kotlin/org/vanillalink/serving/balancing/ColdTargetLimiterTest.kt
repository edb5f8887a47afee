package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertTrue

internal class ColdTargetLimiterTest {
    @Test
    fun `daemons without coordination together stay within the limit`() {
        val daemonCount = 5
        val sent =
            (1..daemonCount).sumOf { _ ->
                val limiter = ColdTargetLimiter()
                (0..40).count { step ->
                    limiter
                        .isAllowed(
                            TARGET,
                            step * 20L,
                            requestsPerSecond = 36.0,
                            daemonCount,
                        ).also { if (it) limiter.recordSent(TARGET, step * 20L) }
                }
            }
        assertTrue(sent <= 36 * 1.5 + 5)
    }

    private companion object {
        val TARGET = HostId("a")
    }
}
