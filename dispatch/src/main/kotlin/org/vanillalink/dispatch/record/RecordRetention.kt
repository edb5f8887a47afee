/*
 * Removal of records for which no resend is expected any more.
 *
 * Only records that are done or released are removed: a record in state sending is all that prevents its call from
 * running twice.
 */
package org.vanillalink.dispatch.record

import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import java.time.Duration
import java.time.Instant

/** Selects the records that were written more than [retention] ago. */
class RecordRetention(
    private val retention: Duration,
) {
    private val codec = DispatchRecordCodec()

    /** Returns a conditional removal for each of [rows] that has expired at [now]; each is a transaction of its own. */
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
