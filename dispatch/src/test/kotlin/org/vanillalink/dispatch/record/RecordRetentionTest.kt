package org.vanillalink.dispatch.record

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.WorkspaceId
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals

class RecordRetentionTest {
    private val testSubject = RecordRetention(Duration.ofHours(24))

    @Test
    fun `only finished records older than the retention are removed`() {
        val rows = RecordState.entries.associate { RowKey("dispatch/$it") to Row(3, encodedRecord(it)) }

        val removals = testSubject.buildRemovals(rows, Instant.EPOCH.plus(Duration.ofHours(25)))

        assertEquals(setOf("dispatch/DONE", "dispatch/RELEASED"), removals.map { it.key.value }.toSet())
        assertEquals(setOf(3L), removals.map { it.expectedVersion }.toSet())
    }

    @Test
    fun `a finished record within the retention is kept`() {
        val rows = mapOf(RowKey("dispatch/x") to Row(3, encodedRecord(RecordState.DONE)))

        val removals = testSubject.buildRemovals(rows, Instant.EPOCH.plus(Duration.ofHours(23)))

        assertEquals(emptyList(), removals)
    }

    private fun encodedRecord(state: RecordState): String {
        val owner = RecordOwner(DaemonId("d"), BootId("b"))
        val record = DispatchRecord(state, owner, AttemptId("a"), CallFingerprint("f"), WorkspaceId("w"), 0)
        return DispatchRecordCodec().encode(record)
    }
}
