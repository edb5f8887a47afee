package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.RegistryPart
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
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("a"), listed("b")), RegistryReadKind.FULL)
    }

    @Test
    fun `an entry missing from a full read is removed at once`() {
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("b")), RegistryReadKind.FULL)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    @Test
    fun `an entry that expired in an outage is kept, also by a second full read right after it`() {
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("b")), RegistryReadKind.FULL_AFTER_OUTAGE)
        now += 50
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("b")), RegistryReadKind.FULL)
        assertEquals(setOf(HostId("a"), HostId("b")), testSubject.directory.entries.keys)
        now += 2_000
        testSubject.removeExpired(now)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    @Test
    fun `a target that announced its leaving stays leaving despite an older entry or a full read`() {
        testSubject.recordLeaving(TargetInstance(HostId("a"), bornAt = 1), source = "b")
        assertTrue(isLeaving("a"))

        testSubject.apply(RegistryPart.TARGETS, listOf(listed("a")), RegistryReadKind.CHANGES)
        assertTrue(isLeaving("a"))
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("a"), listed("b")), RegistryReadKind.FULL)
        assertTrue(isLeaving("a"))
        assertFalse(isLeaving("b"))
    }

    @Test
    fun `a target that announced its leaving before its entry is read is leaving once listed`() {
        testSubject.recordLeaving(TargetInstance(HostId("c"), bornAt = 1), source = "b")

        testSubject.apply(RegistryPart.TARGETS, listOf(listed("c")), RegistryReadKind.CHANGES)

        assertTrue(isLeaving("c"))
    }

    @Test
    fun `a new instance under the id of a target that left is not leaving`() {
        testSubject.recordLeaving(TargetInstance(HostId("a"), bornAt = 1), source = "b")

        testSubject.apply(RegistryPart.TARGETS, listOf(listed("a", bornAt = 2)), RegistryReadKind.CHANGES)

        assertFalse(isLeaving("a"))
    }

    // Guards against a part of the registry that is read as the other one when all of its records were lost.
    @Test
    fun `an empty read of the operators' records removes no target`() {
        testSubject.apply(RegistryPart.OPERATORS, emptyList(), RegistryReadKind.FULL)

        assertEquals(setOf(HostId("a"), HostId("b")), testSubject.directory.entries.keys)
    }

    // Guards against older entries that replace what is known when the store has come back from a copy.
    @Test
    fun `after a restoration, full reads add unknown targets and new instances and change nothing else for a while`() {
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("a", isLeaving = true)), RegistryReadKind.CHANGES)
        testSubject.apply(RegistryPart.TARGETS, listOf(RegistryRecord.Removed(HostId("b"))), RegistryReadKind.CHANGES)
        testSubject.onStoreRestored()
        val copy = listOf(listed("a"), listed("b"), listed("c"))
        testSubject.apply(RegistryPart.TARGETS, copy, RegistryReadKind.FULL_AFTER_OUTAGE)

        assertEquals(setOf(HostId("a"), HostId("c")), testSubject.directory.entries.keys)
        assertTrue(isLeaving("a"))

        now += 2_100
        testSubject.apply(RegistryPart.TARGETS, copy, RegistryReadKind.FULL)
        assertEquals(setOf(HostId("a"), HostId("c")), testSubject.directory.entries.keys)
        assertTrue(isLeaving("a"))
    }

    @Test
    fun `after a restoration, entries that are written again apply at once, and missing ones are removed in the end`() {
        testSubject.apply(RegistryPart.TARGETS, listOf(RegistryRecord.Removed(HostId("b"))), RegistryReadKind.CHANGES)
        testSubject.onStoreRestored()
        testSubject.apply(RegistryPart.TARGETS, emptyList(), RegistryReadKind.FULL_AFTER_OUTAGE)
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("b")), RegistryReadKind.CHANGES)
        assertEquals(setOf(HostId("a"), HostId("b")), testSubject.directory.entries.keys)

        now += 2_100
        testSubject.apply(RegistryPart.TARGETS, listOf(listed("b")), RegistryReadKind.FULL)
        assertEquals(setOf(HostId("b")), testSubject.directory.entries.keys)
    }

    // Guards against requests to an evacuated failure domain whose evacuation the store has lost.
    @Test
    fun `an evacuation stays in force until operators end it or have had the time to write it again`() {
        val evacuated = RegistryRecord.Evacuated(FailureDomainId("ikeja"))
        testSubject.apply(RegistryPart.OPERATORS, listOf(evacuated), RegistryReadKind.CHANGES)
        testSubject.onStoreRestored()
        testSubject.apply(RegistryPart.OPERATORS, emptyList(), RegistryReadKind.FULL_AFTER_OUTAGE)
        assertEquals(setOf(FailureDomainId("ikeja")), testSubject.evacuated)

        val ended = RegistryRecord.Restored(FailureDomainId("ikeja"))
        testSubject.apply(RegistryPart.OPERATORS, listOf(ended), RegistryReadKind.CHANGES)
        assertEquals(emptySet(), testSubject.evacuated)

        testSubject.apply(RegistryPart.OPERATORS, listOf(evacuated), RegistryReadKind.CHANGES)
        now += 11_000
        testSubject.apply(RegistryPart.OPERATORS, emptyList(), RegistryReadKind.FULL)
        assertEquals(emptySet(), testSubject.evacuated)
    }

    private fun isLeaving(id: String) = testSubject.directory.entries
        .getValue(HostId(id))
        .isLeaving

    private fun listed(
        id: String,
        bornAt: Long = 1,
        isLeaving: Boolean = false,
    ) = RegistryRecord.Listed(
        TargetEntry(
            id = HostId(id),
            service = ServiceName("writer"),
            endpoint = Endpoint("127.0.0.1", 1),
            failureDomain = FailureDomainId("ikeja"),
            fabricDomain = "ikeja-d0",
            isLeaving = isLeaving,
            coldMilliseconds = 0,
            bornAt = bornAt,
            model = null,
            staged = emptySet(),
            membership = null,
            slots = 18,
        ),
    )
}
