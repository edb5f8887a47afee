package org.vanillalink.serving.peers

import org.vanillalink.serving.catalog.ClockReading
import org.vanillalink.serving.catalog.CredentialFreshness
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue

/** What a daemon that follows the store answers to its peers; the store answered at 1,000 to a request of 900. */
internal class ChangeHistoryTest {
    private val testSubject = ChangeHistory<String>(maxAge = 1_500).after(10, listOf(change("a", 11)), 12)

    @Test
    fun `a peer gets the latest change of each row after its version`() {
        val history = testSubject.after(12, listOf(change("b", 13), change("a", 14)), 14)

        assertEquals(listOf("b" to 13L, "a" to 14L), history.changesAfter(10).rows.map { it.key to it.version })
        assertEquals(listOf("a"), history.changesAfter(13).rows.map { it.key })
        assertEquals(StorePosition(14, 1), history.changesAfter(10).position)
    }

    // Guards against keys that are accepted for longer than the store confirmed them.
    @Test
    fun `a revoked key is refused in time by a peer of a daemon that stood still`() {
        val askedAt = reading(1_100)
        val stoodStillUntil = 4_000L
        val answer = testSubject.answer(ChangeRequest(StorePosition(10, 1), askedAt), reading(1_100), isLast = true)
        val age = assertIs<HistoryAnswer.Changes<String>>(answer).confirmationAge
        val peer = CredentialFreshness().confirmed(askedAt.minus(age))

        assertTrue(peer.isFresh(reading(stoodStillUntil), 4_300))
        assertFalse(peer.isFresh(reading(900 + 4_300), 4_300))
        assertUnknown(UnknownReason.OUTDATED, testSubject.ask(10, stoodStillUntil))
    }

    @Test
    fun `a peer may not rely on a state that was confirmed before this daemon was suspended`() {
        val resumed = ClockReading(1_100, 1_100 + 3_000)

        assertUnknown(
            UnknownReason.OUTDATED,
            testSubject.answer(ChangeRequest(StorePosition(12, 1), resumed), resumed, isLast = true),
        )
    }

    @Test
    fun `a peer without news waits for the store's next answer, which may confirm all up to its request`() {
        val request = ChangeRequest(StorePosition(12, 1), reading(1_050))
        assertIs<HistoryAnswer.NotYet>(testSubject.answer(request, reading(1_050), isLast = false))
        val next = testSubject.withChanges(read(12, emptyList(), 12), reading(1_200), 2_200)
        val answer = assertIs<HistoryAnswer.Changes<String>>(next.answer(request, reading(2_210), isLast = false))

        assertEquals(emptyList(), answer.rows)
        assertEquals(0 to 10, answer.confirmationAge.toInt() to answer.answerAge.toInt())
    }

    // Guards against a target that leaves, and a daemon that is cut off and tells its peers that nothing has changed.
    @Test
    fun `a daemon that is cut off from the store tells so as soon as its state is too old`() {
        val request = ChangeRequest(StorePosition(12, 1), reading(2_000))
        val wait = assertIs<HistoryAnswer.NotYet>(testSubject.answer(request, reading(2_000), isLast = false))

        assertEquals(501, wait.milliseconds)
        assertUnknown(UnknownReason.OUTDATED, testSubject.answer(request, reading(2_501), isLast = true))
        assertUnknown(UnknownReason.OUTDATED, testSubject.withoutAnswer().ask(12, 1_100))
    }

    @Test
    fun `nothing is told of another era`() {
        assertUnknown(UnknownReason.HISTORY_TOO_SHORT, testSubject.ask(12, 1_100, era = 2))
        val restored =
            testSubject.withChanges(
                ReadChanges(position(12), emptyList(), position(13, 2)),
                reading(990),
                1_000,
            )
        assertUnknown(UnknownReason.OUTDATED, restored.ask(12, 1_100))
        assertUnknown(UnknownReason.OUTDATED, restored.ask(12, 1_100, era = 2))
    }

    @Test
    fun `changes that are not all known are not told`() {
        assertUnknown(UnknownReason.HISTORY_TOO_SHORT, testSubject.ask(9, 1_100))
        val afterGap = testSubject.after(20, emptyList(), 21)
        assertUnknown(UnknownReason.HISTORY_TOO_SHORT, afterGap.ask(12, 1_100))
        val limited = ChangeHistory<String>(1_500, HistoryLimits(rows = 2, bytes = 100))
        val full = limited.after(10, listOf(change("a", 11), change("b", 12), change("c", 13)), 13)
        assertUnknown(UnknownReason.HISTORY_TOO_SHORT, full.ask(10, 1_100))
        assertEquals(listOf("b", "c"), full.changesAfter(11).rows.map { it.key })
    }

    @Test
    fun `a peer that knows more than this daemon gets nothing older`() {
        val answer = assertIs<HistoryAnswer.Changes<String>>(testSubject.ask(15, 1_100))
        assertEquals(emptyList(), answer.rows)
    }

    private fun ChangeHistory<String>.after(
        version: Long,
        rows: List<ChangedRow<String>>,
        newVersion: Long,
    ) = withChanges(read(version, rows, newVersion), reading(900), 1_000)

    private fun ChangeHistory<String>.changesAfter(version: Long) =
        assertIs<HistoryAnswer.Changes<String>>(ask(version, 1_100))

    private fun ChangeHistory<String>.ask(
        version: Long,
        now: Long,
        era: Long = 1,
    ) = answer(ChangeRequest(position(version, era), reading(now)), reading(now), isLast = true)

    private fun assertUnknown(
        reason: UnknownReason,
        answer: HistoryAnswer<String>,
    ) = assertEquals(HistoryAnswer.Unknown(reason), answer)

    private fun read(
        after: Long,
        rows: List<ChangedRow<String>>,
        version: Long,
    ) = ReadChanges(position(after), rows, position(version))

    private fun position(
        version: Long,
        era: Long = 1,
    ) = StorePosition(version, era)

    private fun change(
        key: String,
        version: Long,
    ) = ChangedRow(key, version, bytes = 10, row = key)

    private fun reading(milliseconds: Long) = ClockReading(milliseconds, milliseconds)
}
