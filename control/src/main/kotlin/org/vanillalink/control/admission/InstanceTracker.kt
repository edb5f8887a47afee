/*
 * Which runs of daemons the table names: the ledger lends units of some targets only to those, and a run whose row is
 * gone has ended.
 */
package org.vanillalink.control.admission

import arrow.core.Either
import org.vanillalink.admission.LedgerEvent
import org.vanillalink.admission.LedgerState
import org.vanillalink.groups.GroupRows
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.time.Instant

/** The daemon [daemon] controls a failure domain under [fencingNumber]; null where only the number is known. */
internal data class DomainController(
    val daemon: DaemonId?,
    val fencingNumber: FencingNumber,
)

/** Confined to the control thread. */
internal class InstanceTracker(
    private val identity: DaemonIdentity,
) {
    val register = InstanceRegister(identity)

    /** The number under which this daemon controls its failure domain, or null. */
    var heldNumber: FencingNumber? = null
    private var nextScanAt = Instant.EPOCH
    private var latestScan = InstanceRegister.OWN_SCAN

    /** What to ask of the table now; scans come sooner until the ledger [isInForce]. */
    fun due(
        isInForce: Boolean,
        now: Instant,
    ): List<AdmissionTask> = listOfNotNull(register.due(now), scanIfDue(isInForce, now))

    /** What [rows] of the scan number [scan], and the [controlRow] row read after them, tell the ledger. */
    fun ledgerEvents(
        scan: Long,
        rows: Map<RowKey, Row>,
        controlRow: Either<StoreFailure, Row?>,
        state: LedgerState,
    ): List<LedgerEvent> {
        val fencingNumber = heldNumber ?: return emptyList()
        // An answer that was overtaken could lack a run that is registered meanwhile.
        if (scan == InstanceRegister.OWN_SCAN || scan != latestScan) return emptyList()
        val row = controlRow.getOrNull()
        if (!InstanceRows.isControlledBy(row, identity, fencingNumber)) return emptyList()
        val holders = rows.keys.mapNotNull(InstanceRows::holderOf).toSet()
        if (state.control != fencingNumber) return listOf(LedgerEvent.ControlGained(fencingNumber, holders))
        val ended = state.registeredHolders - holders
        return listOf(LedgerEvent.HoldersRegistered(holders)) + ended.map { LedgerEvent.DaemonEnded(it) }
    }

    private fun scanIfDue(
        isInForce: Boolean,
        now: Instant,
    ): AdmissionTask? {
        if (heldNumber == null || now < nextScanAt) return null
        nextScanAt = now.plus(if (isInForce) SCAN_INTERVAL else FIRST_SCAN_RETRY)
        latestScan += 1
        val domain = identity.failureDomain
        return AdmissionTask.ScanInstances(latestScan, InstanceRows.prefix(domain), GroupRows.controlKey(domain))
    }

    private companion object {
        val SCAN_INTERVAL: Duration = Duration.ofSeconds(2)
        val FIRST_SCAN_RETRY: Duration = Duration.ofMillis(500)
    }
}
