package org.vanillalink.serving.choice

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

internal class InFlightCountsTest {
    private val testSubject = InFlightCounts()

    @Test
    fun `own requests and those of peers add up`() {
        testSubject.begun(A)
        testSubject.heard(DaemonId("peer"), mapOf(A to 3), now = 0, validFor = 1_000)
        assertEquals(4, testSubject.at(A, now = 500))
    }

    @Test
    fun `what a silent peer said is not believed for long`() {
        testSubject.heard(DaemonId("peer"), mapOf(A to 3), now = 0, validFor = 1_000)
        assertEquals(0, testSubject.at(A, now = 1_001))
    }

    private companion object {
        val A = HostId("a")
    }
}
