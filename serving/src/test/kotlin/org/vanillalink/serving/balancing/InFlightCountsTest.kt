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

    @Test
    fun `the older the counts of a peer are, the more evenly its requests are estimated to be distributed`() {
        val targets = setOf(TARGET, HostId("b"))
        testSubject.recordStart(TARGET)
        testSubject.recordPeerCounts(DaemonId("peer"), mapOf(TARGET to 8), now = 0, validForMilliseconds = 5_000)

        assertEquals(9.0, testSubject.estimate(targets, 1_000.0, now = 0).at(TARGET))
        val later = testSubject.estimate(targets, 1_000.0, now = 693)
        assertEquals(7.0, later.at(TARGET), absoluteTolerance = 0.01)
        assertEquals(2.0, later.at(HostId("b")), absoluteTolerance = 0.01)
        assertEquals(4.0, later.unseenRequests, absoluteTolerance = 0.01)
    }

    @Test
    fun `a peer's requests at targets that serve something else don't count`() {
        testSubject.recordPeerCounts(DaemonId("peer"), mapOf(HostId("b") to 8), now = 0, validForMilliseconds = 5_000)

        assertEquals(LoadEstimate(mapOf(TARGET to 0.0), 0.0), testSubject.estimate(setOf(TARGET), 1_000.0, now = 500))
    }

    private companion object {
        val TARGET = HostId("a")
    }
}
