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
internal class DomainRuns(
    private val identity: DaemonIdentity,
) {
    val register = RunRegister(identity)

    /** The number under which this daemon controls its failure domain, or null. */
    var held: FencingNumber? = null
    private var nextScanAt = Instant.EPOCH
    private var latestScan = RunRegister.OWN_SCAN

    /** What to ask of the table now; scans come sooner until the ledger [isInForce]. */
    fun due(
        isInForce: Boolean,
        now: Instant,
    ): List<AdmissionWork> = listOfNotNull(register.due(now), scanIfDue(isInForce, now))

    /** What [rows] of the scan number [scan], and the [control] row read after them, tell the ledger. */
    fun ledgerEvents(
        scan: Long,
        rows: Map<RowKey, Row>,
        control: Either<StoreFailure, Row?>,
        state: LedgerState,
    ): List<LedgerEvent> {
        val number = held ?: return emptyList()
        // An answer that was overtaken could lack a run that is registered meanwhile.
        if (scan == RunRegister.OWN_SCAN || scan != latestScan) return emptyList()
        val row = control.getOrNull()
        if (!RunRows.isControlledBy(row, identity, number)) return emptyList()
        val holders = rows.keys.mapNotNull(RunRows::holderOf).toSet()
        if (state.control != number) return listOf(LedgerEvent.ControlGained(number, holders))
        val ended = state.registeredHolders - holders
        return listOf(LedgerEvent.HoldersRegistered(holders)) + ended.map { LedgerEvent.DaemonEnded(it) }
    }

    private fun scanIfDue(
        isInForce: Boolean,
        now: Instant,
    ): AdmissionWork? {
        if (held == null || now < nextScanAt) return null
        nextScanAt = now.plus(if (isInForce) SCAN_INTERVAL else FIRST_SCAN_RETRY)
        latestScan += 1
        val domain = identity.failureDomain
        return AdmissionWork.ScanRuns(latestScan, RunRows.prefix(domain), GroupRows.controlKey(domain))
    }

    private companion object {
        val SCAN_INTERVAL: Duration = Duration.ofSeconds(2)
        val FIRST_SCAN_RETRY: Duration = Duration.ofMillis(500)
    }
}
