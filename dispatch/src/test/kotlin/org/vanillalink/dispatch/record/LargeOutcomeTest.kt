package org.vanillalink.dispatch.record

import arrow.core.left
import arrow.core.right
import org.vanillalink.model.AttemptId
import org.vanillalink.model.BootId
import org.vanillalink.model.DaemonId
import org.vanillalink.model.RequestId
import org.vanillalink.model.WorkspaceId
import org.vanillalink.store.StoreFailure
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

class LargeOutcomeTest {
    private val testSubject = IdempotentDispatch(DispatchSettings(maxInlineBase64Characters = 10))
    private val record = RecordId("r")
    private val call =
        KeyedCall(
            request = RequestId("request"),
            record = record,
            attempt = AttemptId("a"),
            fingerprint = CallFingerprint("f"),
            workspace = WorkspaceId("w"),
            deadline = Instant.EPOCH.plusSeconds(10),
        )
    private val sending = DispatchEntry(call, DispatchPhase.Sending, Instant.EPOCH, version = 2)
    private var state = DispatchState(RecordOwner(DaemonId("d"), BootId("b")), mapOf(record to sending))
    private val outcome = CallOutcome(200, body = OutcomeBody.Inline.encode(ByteArray(100)))

    @Test
    fun `a large body is stored in the object store before the record becomes done`() {
        val answered = at(1, DispatchEvent.TargetResponded(record, call.attempt, outcome))
        val storing = assertIs<DispatchDecision.StoreBody>(answered.last())
        at(1, DispatchEvent.StoreBodyFinished(record, storing.name, StoreFailure.AnswerLost.left()))
        val again = assertIs<DispatchDecision.StoreBody>(at(5, DispatchEvent.Tick).single())

        val done = at(5, DispatchEvent.StoreBodyFinished(record, again.name, Unit.right()))

        assertEquals(DispatchDecision.RespondToCaller(call.request, outcome, isReplay = false), answered.first())
        val write = assertIs<DispatchDecision.Transact>(done.single()).write
        assertEquals(2, write.expectedVersion)
        assertTrue(storing.name in write.value.orEmpty())
    }

    @Test
    fun `a peer replays an outcome that only its owner has yet`() {
        at(1, DispatchEvent.TargetResponded(record, call.attempt, outcome))
        val status = state.getStatus(record)
        val owned =
            DispatchRecord(RecordState.SENDING, state.owner, call.attempt, call.fingerprint, call.workspace, 0)
        val resend = call.copy(request = RequestId("resend"), attempt = AttemptId("b"))
        val asking = DispatchEntry(resend, DispatchPhase.QueryingOwner(owned), Instant.EPOCH)
        state = DispatchState(RecordOwner(DaemonId("peer"), BootId("b")), mapOf(record to asking))

        val decisions = at(2, DispatchEvent.OwnerStatusReceived(record, status))

        assertEquals(listOf(DispatchDecision.RespondToCaller(resend.request, outcome, isReplay = true)), decisions)
    }

    private fun at(
        second: Long,
        event: DispatchEvent,
    ): List<DispatchDecision> {
        val transition = testSubject.handle(state, event, Instant.EPOCH.plusSeconds(second))
        state = transition.state
        return transition.decisions
    }
}
