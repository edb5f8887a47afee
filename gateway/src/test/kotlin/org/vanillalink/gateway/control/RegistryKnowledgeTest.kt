package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RegistryKnowledgeTest {
    private var now = 1_000L
    private val clock =
        object : EntryClock {
            override fun steady() = now

            override fun wall() = now
        }
    private val testSubject =
        RegistryKnowledge(EventLines(DaemonId("a"), clock::steady), clock, relistMilliseconds = 2_000)

    init {
        testSubject.apply(listOf(listed("a"), listed("b")), RegistryRead.WHOLE)
    }

    @Test
    fun `an entry missing from a whole read is gone at once`() {
        testSubject.apply(listOf(listed("b")), RegistryRead.WHOLE)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    @Test
    fun `an entry that lapsed in an outage is kept, also by a second read right after it`() {
        testSubject.apply(listOf(listed("b")), RegistryRead.WHOLE_AFTER_OUTAGE)
        now += 50
        testSubject.apply(listOf(listed("b")), RegistryRead.WHOLE)
        assertEquals(setOf(HostId("a"), HostId("b")), testSubject.directory.entries.keys)
        now += 2_000
        testSubject.expire(now)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    @Test
    fun `a target that says it leaves is not taken back by an older entry or a whole read`() {
        testSubject.leaves(TargetInstance(HostId("a"), bornAt = 1), source = "b")
        assertTrue(isLeaving("a"))

        testSubject.apply(listOf(listed("a")), RegistryRead.CHANGES)
        assertTrue(isLeaving("a"))
        testSubject.apply(listOf(listed("a"), listed("b")), RegistryRead.WHOLE)
        assertTrue(isLeaving("a"))
        assertFalse(isLeaving("b"))
    }

    @Test
    fun `a target that leaves before it is known is leaving when it is listed`() {
        testSubject.leaves(TargetInstance(HostId("c"), bornAt = 1), source = "b")

        testSubject.apply(listOf(listed("c")), RegistryRead.CHANGES)

        assertTrue(isLeaving("c"))
    }

    @Test
    fun `another run under the id of a target that left is used`() {
        testSubject.leaves(TargetInstance(HostId("a"), bornAt = 1), source = "b")

        testSubject.apply(listOf(listed("a", bornAt = 2)), RegistryRead.CHANGES)

        assertFalse(isLeaving("a"))
    }

    private fun isLeaving(id: String) = testSubject.directory.entries
        .getValue(HostId(id))
        .isLeaving

    private fun listed(
        id: String,
        bornAt: Long = 1,
    ) = RegistryRecord.Listed(
        TargetEntry(
            id = HostId(id),
            service = ServiceName("writer"),
            endpoint = Endpoint("127.0.0.1", 1),
            failureDomain = FailureDomainId("ikeja"),
            fabricDomain = "ikeja-d0",
            isLeaving = false,
            coldMilliseconds = 0,
            bornAt = bornAt,
            model = null,
            staged = emptySet(),
            membership = null,
            slots = 18,
        ),
    )
}
