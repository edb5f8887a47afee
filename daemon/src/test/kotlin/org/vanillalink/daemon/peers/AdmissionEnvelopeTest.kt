/*
 * That every message on units of admission comes out of its JSON as it went in.
 */
package org.vanillalink.daemon.peers

import org.vanillalink.admission.Holder
import org.vanillalink.admission.LoanId
import org.vanillalink.admission.MessageToHolder
import org.vanillalink.admission.MessageToOwner
import org.vanillalink.control.admission.AdmissionInput
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.transport.Json
import org.vanillalink.transport.read
import java.time.Duration
import kotlin.test.Test
import kotlin.test.assertEquals

class AdmissionEnvelopeTest {
    private val host = HostId("h")
    private val owner = DaemonId("d1")
    private val holder = Holder(DaemonId("d2"), BootId("b"))
    private val loan = LoanId(holder, 7)
    private val number = FencingNumber(3)
    private val inUse = mapOf(host to setOf(AttemptId("a"), AttemptId("b")))

    @Test
    fun `messages to the owner survive their JSON`() {
        val messages =
            listOf(
                MessageToOwner.Borrow(loan, host, 2, number),
                MessageToOwner.Return(loan, host, 1, number),
                MessageToOwner.Holdings(holder, number, inUse),
            )

        val opened = messages.map { sent(AdmissionEnvelope.of(it)) }

        assertEquals(messages.map { AdmissionInput.MessageForOwner(it) }, opened)
    }

    @Test
    fun `messages to a holder survive their JSON and name its run`() {
        val messages =
            listOf(
                MessageToHolder.Grant(owner, number, loan, host, BootId("t"), 2, Duration.ofMillis(1_500), 9, 4, true),
                MessageToHolder.Refuse(owner, number, loan, host, Duration.ofMillis(250)),
                MessageToHolder.Recall(owner, number, loan, host),
                MessageToHolder.ReturnAcknowledged(owner, number, loan, host, 1),
                MessageToHolder.HoldingsAcknowledged(owner, number, inUse),
            )

        val opened = messages.map { sent(AdmissionEnvelope.of(holder, it)) }

        assertEquals(messages.map { AdmissionInput.MessageForHolder(holder.boot, it) }, opened)
    }

    private fun sent(envelope: AdmissionEnvelope): AdmissionInput? = Json
        .read<AdmissionEnvelope>(Json.write(envelope))
        .getOrNull()
        ?.open()
        ?.getOrNull()
}
