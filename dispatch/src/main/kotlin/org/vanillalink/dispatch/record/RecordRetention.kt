/*
 * Clean-up of records that no resend is expected for any more.
 *
 * Only records that are done or released are removed: a sending record is the only thing that keeps its call from
 * running twice.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import java.time.Duration
import java.time.Instant

/** Chooses the records to remove [retention] after they were written. */
class RecordRetention(
    private val retention: Duration,
) {
    private val codec = DispatchRecordCodec()

    /** One conditional removal for each of [rows] that is past its time at [now]; each is its own transaction. */
    fun buildRemovals(
        rows: Map<RowKey, Row>,
        now: Instant,
    ): List<ConditionalWrite> = rows
        .filterValues { row -> codec.decode(row.value).fold({ false }, { isExpired(it, now) }) }
        .map { (key, row) -> ConditionalWrite(key, row.version, value = null) }

    private fun isExpired(
        record: DispatchRecord,
        now: Instant,
    ): Boolean {
        val isFinished = record.state == RecordState.DONE || record.state == RecordState.RELEASED
        return isFinished && Instant.ofEpochMilli(record.writtenAtMilliseconds).plus(retention).isBefore(now)
    }
}
