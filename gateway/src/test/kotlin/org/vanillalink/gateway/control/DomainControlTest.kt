package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.model.DaemonId
import org.vanillalink.model.FailureDomainId
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.RowKey
import org.vanillalink.testing.InMemoryTableStore
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

internal class DomainControlTest {
    private val table = InMemoryTableStore()
    private val controlThread = ControlThread()
    private val rowKey = RowKey("control/ikeja")
    private val domain = FailureDomainId("ikeja")
    private val testSubject =
        DomainControl(
            domain,
            DaemonId("a"),
            table,
            controlThread,
            EventLogger(DaemonId("a"), SystemClock::steady),
            SystemClock,
            onTermStarted = {},
        )

    @AfterTest
    fun stop() = controlThread.close()

    // Guards against a term, and with it names and epochs of groups, that is given out a second time when the store has
    // lost the row of the last one.
    @Test
    fun `a new term is higher than the terms that peers have claimed and that targets have seen`() {
        storeTerm(2)
        evaluate(claimedTerm = 3, usedEpoch = 5_000_007)

        assertEquals(6, testSubject.term)
        assertEquals(6, storedTerm())
    }

    // Guards against epochs that overflow, and that all targets refuse, since another writer listed the largest one.
    @Test
    fun `an epoch that can't have been given out does not raise the term`() {
        storeTerm(2)
        evaluate(claimedTerm = 2, usedEpoch = Long.MAX_VALUE / 2)

        assertEquals(3, testSubject.term)
    }

    @Test
    fun `a new term is higher than one that this daemon has given up`() {
        evaluate()
        onControlThread { testSubject.updateElection(isPreferred = false, claimedTerm = null, usedEpoch = 0) }
        storeTerm(0)
        evaluate()

        assertEquals(2, testSubject.term)
    }

    @Test
    fun `a daemon that has control writes its claim again when the store has lost it`() {
        storeTerm(1)
        evaluate(claimedTerm = 1)
        assertEquals(2, testSubject.term)
        storeTerm(1)
        onControlThread { testSubject.onStoreRestored() }

        assertEquals(2, storedTerm())
        assertEquals(2, testSubject.term)
    }

    @Test
    fun `a later claim in the store is not overwritten`() {
        evaluate()
        storeTerm(7)
        onControlThread { testSubject.onStoreRestored() }

        assertEquals(7, storedTerm())
    }

    /** Evaluates the peers' claims as the control loop does, until this daemon has read and written the row. */
    private fun evaluate(
        claimedTerm: Long? = null,
        usedEpoch: Long = 0,
    ) = onControlThread { testSubject.updateElection(isPreferred = true, claimedTerm, usedEpoch) }

    private fun onControlThread(action: () -> Unit) {
        controlThread.execute(action)
        repeat(TABLE_CALLS) {
            val done = CompletableFuture<Unit>()
            controlThread.execute { done.complete(Unit) }
            done.get(10, TimeUnit.SECONDS)
        }
    }

    /** Replaces the row as a store that has come back from a copy; 0 for no row. */
    private fun storeTerm(term: Long) {
        val version =
            table
                .readNow(setOf(rowKey))
                .getOrNull()
                ?.get(rowKey)
                ?.version ?: ConditionalWrite.ABSENT
        val value = if (term == 0L) null else "$term b 0"
        table.transactNow(listOf(ConditionalWrite(rowKey, version, value)))
    }

    private fun storedTerm(): Long? = table
        .readNow(setOf(rowKey))
        .getOrNull()
        ?.get(rowKey)
        ?.value
        ?.substringBefore(' ')
        ?.toLong()

    private companion object {
        /** A read and a write, each of which continues on the control thread. */
        const val TABLE_CALLS = 3
    }
}
