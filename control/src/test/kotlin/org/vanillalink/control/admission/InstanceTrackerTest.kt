/*
 * Which runs of daemons count as ended, and whose rows a run removes.
 */
package org.vanillalink.control.admission

import arrow.core.right
import com.fasterxml.jackson.module.kotlin.jacksonObjectMapper
import org.vanillalink.admission.Holder
import org.vanillalink.admission.LedgerEvent
import org.vanillalink.admission.LedgerState
import org.vanillalink.groups.ControlHolder
import org.vanillalink.groups.ControlRow
import org.vanillalink.membership.DaemonEndpoints
import org.vanillalink.membership.DaemonIdentity
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.FencingNumber
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.TransactionResult
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class InstanceTrackerTest {
    private val identity = identity("b2", port = 1)
    private val number = FencingNumber(4)
    private val other = Holder(DaemonId("e"), BootId("e1"))
    private val testSubject = InstanceTracker(identity).also { it.heldNumber = number }

    @Test
    fun `a run whose row is gone has ended`() {
        val scan = scanDue()

        val events = testSubject.ledgerEvents(scan, emptyMap(), control(number), inForce())

        assertEquals(listOf(LedgerEvent.HoldersRegistered(emptySet()), LedgerEvent.DaemonEnded(other)), events)
    }

    @Test
    fun `a scan that a later one overtook ends no run`() {
        val overtaken = scanDue()
        scanDue(Instant.EPOCH.plusSeconds(10))

        val events = testSubject.ledgerEvents(overtaken, emptyMap(), control(number), inForce())

        assertEquals(emptyList(), events)
    }

    @Test
    fun `a scan after which another daemon controls counts for nothing`() {
        val scan = scanDue()

        val events = testSubject.ledgerEvents(scan, emptyMap(), control(number.next()), inForce())

        assertEquals(emptyList(), events)
    }

    @Test
    fun `a run removes the rows of its predecessors on the same address only`() {
        val register = InstanceRegister(identity)
        val firstWrite = register.due(Instant.EPOCH) as AdmissionTask.WriteInstances
        register.written(
            firstWrite.writes,
            TransactionResult.Committed(mapOf(InstanceRows.key(identity) to 1L)),
        )
        val elsewhere = identity("b0", port = 2)

        val work = register.scanned(rows(identity, identity("b1", port = 1), elsewhere))

        val removed = (work as AdmissionTask.WriteInstances).writes
        assertEquals(listOf(InstanceRows.key(identity("b1", port = 1))), removed.map { it.key })
        assertNull(removed.single().value)
    }

    private fun scanDue(now: Instant = Instant.EPOCH): Long = testSubject
        .due(isInForce = true, now)
        .filterIsInstance<AdmissionTask.ScanInstances>()
        .single { it.scan != InstanceRegister.OWN_SCAN }
        .scan

    private fun inForce() = LedgerState(identity.daemon, control = number, registeredHolders = setOf(other))

    private fun control(number: FencingNumber) = Row(
        1,
        jacksonObjectMapper().writeValueAsString(controlRow(number)),
    ).right()

    private fun controlRow(number: FencingNumber) =
        ControlRow(ControlHolder(identity.daemon, identity.boot), number, write = 1)

    private fun rows(vararg runs: DaemonIdentity): Map<RowKey, Row> = runs.associate {
        InstanceRows.key(it) to
            Row(1, InstanceRows.write(InstanceRow(it.endpoints.peers)))
    }

    private fun identity(
        boot: String,
        port: Int,
    ): DaemonIdentity {
        val endpoint = Endpoint("10.0.0.1", port)
        val endpoints = DaemonEndpoints(endpoint, endpoint, endpoint)
        return DaemonIdentity(DaemonId("d"), BootId(boot), FailureDomainId("ikeja"), endpoints)
    }
}
