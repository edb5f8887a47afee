package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
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

internal class RegistryStateTest {
    private var now = 1_000L
    private val clock =
        object : GatewayClock {
            override fun steady() = now

            override fun wall() = now
        }
    private val testSubject =
        RegistryState(EventLogger(DaemonId("a"), clock::steady), clock, relistMilliseconds = 2_000)

    init {
        testSubject.apply(listOf(listed("a"), listed("b")), RegistryReadKind.FULL)
    }

    @Test
    fun `an entry missing from a full read is removed at once`() {
        testSubject.apply(listOf(listed("b")), RegistryReadKind.FULL)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    @Test
    fun `an entry that expired in an outage is kept, also by a second full read right after it`() {
        testSubject.apply(listOf(listed("b")), RegistryReadKind.FULL_AFTER_OUTAGE)
        now += 50
        testSubject.apply(listOf(listed("b")), RegistryReadKind.FULL)
        assertEquals(setOf(HostId("a"), HostId("b")), testSubject.directory.entries.keys)
        now += 2_000
        testSubject.removeExpired(now)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    @Test
    fun `a target that announced its leaving stays leaving despite an older entry or a full read`() {
        testSubject.recordLeaving(TargetInstance(HostId("a"), bornAt = 1), source = "b")
        assertTrue(isLeaving("a"))

        testSubject.apply(listOf(listed("a")), RegistryReadKind.CHANGES)
        assertTrue(isLeaving("a"))
        testSubject.apply(listOf(listed("a"), listed("b")), RegistryReadKind.FULL)
        assertTrue(isLeaving("a"))
        assertFalse(isLeaving("b"))
    }

    @Test
    fun `a target that announced its leaving before its entry is read is leaving once listed`() {
        testSubject.recordLeaving(TargetInstance(HostId("c"), bornAt = 1), source = "b")

        testSubject.apply(listOf(listed("c")), RegistryReadKind.CHANGES)

        assertTrue(isLeaving("c"))
    }

    @Test
    fun `a new instance under the id of a target that left is not leaving`() {
        testSubject.recordLeaving(TargetInstance(HostId("a"), bornAt = 1), source = "b")

        testSubject.apply(listOf(listed("a", bornAt = 2)), RegistryReadKind.CHANGES)

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
