package org.vanillalink.admission

import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FencingNumber
import org.vanillalink.model.HostId
import org.vanillalink.model.TargetPhase
import org.vanillalink.model.TargetReport
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class AdmissionLedgerTest {
    private val testSubject = AdmissionLedger(AdmissionSettings(coldRequests = 2))
    private val host = HostId("h")
    private val number = FencingNumber(3)
    private val borrower = Holder(DaemonId("d2"), BootId("b1"))
    private val owner = Holder(DaemonId("d1"), BootId("b1"))

    @Test
    fun `a target that doesn't check fencing has no free units until all earlier holders declare their use`() {
        val state = controlled(checksFencing = false)

        val declaredByOne = state.apply(declare(owner))
        val declaredByAll = declaredByOne.apply(declare(borrower, AttemptId("a")))

        assertEquals(0, testSubject.freeUnits(declaredByOne, host))
        assertEquals(1, testSubject.freeUnits(declaredByAll, host))
    }

    @Test
    fun `a target that checks fencing has no free units until it reports the fencing number`() {
        val state = controlled(checksFencing = true)

        val fenced = state.apply(report(sequence = 2, number = number, running = setOf(AttemptId("old"))))

        assertEquals(0, testSubject.freeUnits(state, host))
        assertEquals(1, testSubject.freeUnits(fenced, host))
    }

    @Test
    fun `units of an ended holder stay in use while the target lists an attempt`() {
        val lent = lendAll()
        val ended = lent.apply(LedgerEvent.DaemonEnded(borrower))
        val fetchId = ended.targets.getValue(host).fetchId

        val passedOn = ended.apply(report(sequence = 2))
        val running = ended.apply(report(sequence = 2, running = setOf(AttemptId("a")), fetchId = fetchId))
        val gone = running.apply(report(sequence = 3))

        assertEquals(0, testSubject.freeUnits(passedOn, host))
        assertEquals(1, testSubject.freeUnits(running, host))
        assertEquals(2, testSubject.freeUnits(gone, host))
    }

    @Test
    fun `units of an expired loan aren't lent again before they are returned`() {
        val lent = lendAll()

        val later = testSubject.handle(lent, LedgerEvent.Tick, Instant.EPOCH.plusSeconds(60))

        assertEquals(0, testSubject.freeUnits(later.state, host))
        assertTrue(later.decisions.any { it is LedgerDecision.Send && it.message is MessageToHolder.Recall })
    }

    @Test
    fun `another boot is accepted only from a report that was fetched after the change was seen`() {
        val state = declared()

        val passedOn = state.apply(report(sequence = 0, boot = "t2"))
        val oldAnswer = passedOn.apply(report(sequence = 9, fetchId = 1))
        val answer =
            passedOn.apply(
                report(sequence = 1, boot = "t2", fetchId = passedOn.targets.getValue(host).fetchId),
            )

        assertTrue(oldAnswer.targets.getValue(host).isBootUncertain)
        assertEquals(BootId("t2"), answer.targets.getValue(host).boot)
        assertEquals(2, testSubject.freeUnits(answer, host))
    }

    @Test
    fun `a warm target whose requests become slow returns to the cold bound`() {
        val warm = declared().apply(report(sequence = 2, cold = false, running = attempts(4), rate = 100.0))
        val target = warm.targets.getValue(host)

        val slow = warm.apply(report(sequence = 3, cold = false, running = attempts(4), rate = 20.0))

        assertFalse(target.ramp.cold)
        assertEquals(8, target.ramp.bound)
        assertEquals(Ramp(bound = 2, cold = true, isColdAssumed = true), slow.targets.getValue(host).ramp)
    }

    @Test
    fun `the bound grows only while the target is loaded and its rate is healthy`() {
        val cold = declared()

        val idle = (2L..6L).fold(cold) { state, sequence -> state.apply(report(sequence)) }
        val loaded = (2L..3L).fold(cold) { state, sequence -> state.apply(busy(sequence)) }
        val degraded = loaded.apply(report(sequence = 4, running = attempts(3), rate = 15.0))

        assertEquals(
            2,
            idle.targets
                .getValue(host)
                .ramp.bound,
        )
        assertEquals(
            3,
            loaded.targets
                .getValue(host)
                .ramp.bound,
        )
        assertEquals(
            2,
            degraded.targets
                .getValue(host)
                .ramp.bound,
        )
    }

    private fun controlled(checksFencing: Boolean): LedgerState = LedgerState(owner.daemon)
        .apply(LedgerEvent.TargetAdded(host, checksFencing, warmRequests = 8))
        .apply(LedgerEvent.ControlGained(number, setOf(owner, borrower)))
        .let { it.apply(report(sequence = 1, fetchId = it.targets.getValue(host).fetchId)) }

    private fun declared(): LedgerState =
        controlled(checksFencing = false).apply(declare(owner)).apply(declare(borrower))

    private fun lendAll(): LedgerState {
        val borrow = MessageToOwner.Borrow(LoanId(borrower, 1), host, units = 2, number)
        return declared().apply(LedgerEvent.MessageReceived(borrow))
    }

    private fun declare(
        holder: Holder,
        vararg attempts: AttemptId,
    ): LedgerEvent {
        val inUse = if (attempts.isEmpty()) emptyMap() else mapOf(host to attempts.toSet())
        return LedgerEvent.MessageReceived(MessageToOwner.Holdings(holder, number, inUse))
    }

    private fun attempts(count: Int): Set<AttemptId> = (1..count).map { AttemptId("a$it") }.toSet()

    private fun busy(sequence: Long): LedgerEvent = report(sequence, running = attempts(2), rate = 20.0)

    private fun report(
        sequence: Long,
        number: FencingNumber = FencingNumber.NONE,
        running: Set<AttemptId> = emptySet(),
        fetchId: Long? = null,
        boot: String = "t1",
        cold: Boolean = true,
        rate: Double = 0.0,
    ): LedgerEvent = LedgerEvent.ReportReceived(
        TargetReport(
            host = host,
            boot = BootId(boot),
            sequence = sequence,
            phase = TargetPhase.READY,
            highestFencingNumber = number,
            cold = cold,
            runningAttempts = running,
            tokensPerSecond = rate,
        ),
        fetchId,
    )

    private fun LedgerState.apply(event: LedgerEvent): LedgerState =
        testSubject.handle(this, event, Instant.EPOCH).state
}
