package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

internal class InFlightCountsTest {
    private val testSubject = InFlightCounts()

    @Test
    fun `own requests and those of peers add up`() {
        testSubject.recordStart(TARGET)
        testSubject.recordPeerCounts(DaemonId("peer"), mapOf(TARGET to 3), now = 0, validForMilliseconds = 1_000)
        assertEquals(4, testSubject.total(TARGET, now = 500))
    }

    @Test
    fun `what a silent peer said is not believed for long`() {
        testSubject.recordPeerCounts(DaemonId("peer"), mapOf(TARGET to 3), now = 0, validForMilliseconds = 1_000)
        assertEquals(0, testSubject.total(TARGET, now = 1_001))
    }

    private companion object {
        val TARGET = HostId("a")
    }
}
