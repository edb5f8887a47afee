package org.vanillalink.serving.balancing

import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertEquals

internal class InFlightCountsTest {
    private val testSubject = InFlightCounts()

    @Test
    fun `own requests and those of peers are added`() {
        testSubject.recordStart(TARGET)
        testSubject.recordPeerCounts(DaemonId("peer"), mapOf(TARGET to 3), now = 0, validForMilliseconds = 1_000)
        assertEquals(4, testSubject.total(TARGET, now = 500))
    }

    @Test
    fun `counts of a silent peer expire`() {
        testSubject.recordPeerCounts(DaemonId("peer"), mapOf(TARGET to 3), now = 0, validForMilliseconds = 1_000)
        assertEquals(0, testSubject.total(TARGET, now = 1_001))
    }

    private companion object {
        val TARGET = HostId("a")
    }
}
