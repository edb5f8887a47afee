/*
 * Keeps the row of this process instance in the table and removes the rows of its predecessors.
 *
 * An instance that listens on the endpoint of an earlier instance of the same daemon replaces it: that process has
 * ended. Only such a successor, or the instance itself on shutdown, removes an instance's row.
 */
package org.vanillalink.control.admission

import org.vanillalink.groups.GroupRows
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.TransactionResult
import java.time.Duration
import java.time.Instant

/** Confined to the control thread. */
internal class InstanceRegister(
    private val identity: DaemonIdentity,
) {
    private val ownKey = InstanceRows.key(identity)
    private var ownVersion: Long? = null
    private var predecessorsRemoved = false
    private var ended = false
    private var nextAttemptAt = Instant.EPOCH

    /** The next task for the table, or null if none is due. */
    fun due(now: Instant): AdmissionTask? {
        if (ended || predecessorsRemoved || now < nextAttemptAt) return null
        nextAttemptAt = now.plus(RETRY_INTERVAL)
        if (ownVersion == null) return AdmissionTask.WriteInstances(listOf(registrationWrite()))
        return AdmissionTask.ScanInstances(
            OWN_SCAN,
            InstanceRows.prefix(identity),
            GroupRows.controlKey(identity.failureDomain),
        )
    }

    /** Records the result of [writes]. */
    fun written(
        writes: List<ConditionalWrite>,
        result: TransactionResult,
    ) {
        if (writes.none { it.key == ownKey && it.value != null }) return
        ownVersion =
            when (result) {
                is TransactionResult.Committed -> result.versions[ownKey]

                // No other daemon writes this key: an earlier write of this instance took effect, its result was lost.
                is TransactionResult.Conflict -> result.actual[ownKey]?.version
            }
        nextAttemptAt = Instant.EPOCH
    }

    /** Removes the rows among [rows] of instances that this one replaces; null if there are none. */
    fun scanned(rows: Map<RowKey, Row>): AdmissionTask? {
        if (ownVersion == null) return null
        predecessorsRemoved = true
        val predecessors = rows.filter { (key, row) -> isPredecessor(key, row) }
        if (predecessors.isEmpty()) return null
        return AdmissionTask.WriteInstances(
            predecessors.map { (key, row) ->
                ConditionalWrite(key, row.version, value = null)
            },
        )
    }

    /** The instance is shutting down and uses no unit any more: its row is removed. */
    fun end(): AdmissionTask? {
        ended = true
        val version = ownVersion ?: return null
        return AdmissionTask.WriteInstances(listOf(ConditionalWrite(ownKey, version, value = null)))
    }

    private fun registrationWrite() =
        ConditionalWrite(ownKey, ConditionalWrite.ABSENT, InstanceRows.write(InstanceRow(identity.endpoints.peers)))

    private fun isPredecessor(
        key: RowKey,
        row: Row,
    ): Boolean {
        val holder = InstanceRows.holderOf(key) ?: return false
        val same = holder.daemon == identity.daemon && holder.boot != identity.boot
        return same && InstanceRows.read(row)?.peers == identity.endpoints.peers
    }

    companion object {
        /** The scan number of all scans for predecessors of this instance. */
        const val OWN_SCAN = 0L
        private val RETRY_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
