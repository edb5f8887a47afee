/*
 * Keeps this run's row in the table, and removes those of runs that it succeeds.
 *
 * A run that listens where an earlier run of the same daemon did has taken the earlier one's place: that process has
 * ended. Only such a successor, or the run itself at its end, removes a run's row.
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

    /** What to ask of the table now, or null. */
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

    /** Takes note of what became of [writes]. */
    fun written(
        writes: List<ConditionalWrite>,
        result: TransactionResult,
    ) {
        if (writes.none { it.key == ownKey && it.value != null }) return
        ownVersion =
            when (result) {
                is TransactionResult.Committed -> result.versions[ownKey]

                // Nobody else writes this key: an earlier write of this run took effect and its answer was lost.
                is TransactionResult.Conflict -> result.actual[ownKey]?.version
            }
        nextAttemptAt = Instant.EPOCH
    }

    /** Removes the rows of runs among [rows] that this run succeeds; null where there are none. */
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

    /** The run ends and uses no unit any more: its row goes. */
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
        /** The number of each scan for runs that this one succeeds. */
        const val OWN_SCAN = 0L
        private val RETRY_INTERVAL: Duration = Duration.ofSeconds(1)
    }
}
