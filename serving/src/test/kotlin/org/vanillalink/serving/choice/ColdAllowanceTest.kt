package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertTrue

internal class ColdAllowanceTest {
    @Test
    fun `daemons that can't talk stay within the bound together`() {
        val daemons = 5
        val sent =
            (1..daemons).sumOf { _ ->
                val allowance = ColdAllowance()
                (0..40).count { tick ->
                    allowance
                        .admits(
                            A,
                            tick * 20L,
                            perSecond = 36.0,
                            daemons,
                        ).also { if (it) allowance.sent(A, tick * 20L) }
                }
            }
        assertTrue(sent <= 36 * 1.5 + 5)
    }

    private companion object {
        val A = HostId("a")
    }
}
