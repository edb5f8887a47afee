package org.vanillalink.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.gateway.ports.RelayedAge
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RegistryFollowerTest {
    private val thread = ControlThread()
    private val registry = FakeRegistry()
    private val received = mutableListOf<String>()
    private val confirmations = mutableListOf<Long>()
    private var failingRecords = 0
    private val testSubject =
        RegistryFollower(
            RegistryPart.TARGETS,
            registry,
            thread,
            SystemClock,
            EventLogger(DaemonId("a"), SystemClock::steady),
            mayHaveMissedChanges = false,
            onRecords = { _, readKind ->
                if (failingRecords > 0) {
                    failingRecords -= 1
                    error("expected a record that can be applied")
                }
                received += "$readKind"
            },
            onResponse = { _, confirmedAt, _ ->
                received += "answered"
                confirmations += confirmedAt.steadyMilliseconds
            },
            onRestored = { received += "restored to ${it.era}" },
        )

    @AfterTest
    fun stop() = thread.close()

    // Guards against a daemon that reports ready before it has read any target, and refuses the first requests with 503
    // (seen in ServingPathTest at eb52d2d).
    @Test
    fun `a part counts as loaded from its first full read on, also during a store outage`() {
        testSubject.start()
        awaitControlThread()
        assertFalse(testSubject.hasLoaded)
        registry.completeFullRead(1)
        awaitControlThread()
        assertTrue(testSubject.hasLoaded)
        registry.failChanges()
        awaitControlThread()
        assertTrue(testSubject.hasLoaded)
    }

    @Test
    fun `a refresh during an outage is applied as a full read after an outage`() {
        testSubject.start()
        registry.completeFullRead(1)
        awaitControlThread()
        registry.failChanges()
        awaitControlThread()
        received.clear()
        testSubject.refresh()
        registry.completeFullRead(2)
        awaitControlThread()
        assertEquals(listOf("FULL_AFTER_OUTAGE", "answered"), received)
    }

    @Test
    fun `an older full read that completes late is dropped`() {
        testSubject.start()
        val olderRead = registry.awaitFullRead()
        testSubject.refresh()
        registry.completeFullRead(7)
        awaitControlThread()
        received.clear()
        olderRead.complete(RegistryRecords(emptyList(), 3).right())
        awaitControlThread()
        assertEquals(listOf("answered"), received)
    }

    // Guards against changes since a version that the store has given out a second time; others are missing.
    @Test
    fun `changes of a new era are not applied, and a full read follows`() {
        testSubject.start()
        registry.completeFullRead(9, era = 1)
        awaitControlThread()
        received.clear()
        registry.completeChanges(RegistryRecords(listOf(REMOVAL), 12, era = 2))
        awaitControlThread()
        assertEquals(listOf("restored to 2"), received)

        registry.completeFullRead(5, era = 2)
        awaitControlThread()
        assertEquals(listOf("restored to 2", "FULL_AFTER_OUTAGE", "answered"), received.take(3))
    }

    // Guards against a new configuration that counts as lost because its response is judged before it is applied.
    @Test
    fun `changes are applied before their response counts as a confirmation`() {
        testSubject.start()
        registry.completeFullRead(9)
        awaitControlThread()
        received.clear()
        registry.completeChanges(RegistryRecords(listOf(REMOVAL), 12))
        awaitControlThread()

        // The same changes are read again after a pause.
        assertEquals(listOf("CHANGES", "answered"), received.take(2))
    }

    // Guards against keys that are accepted for as long as a peer repeats what it once read.
    @Test
    fun `an answer through a peer confirms the state of as long before the request as it says`() {
        testSubject.start()
        registry.completeFullRead(9)
        awaitControlThread()
        registry.completeChanges(RegistryRecords(emptyList(), 9, relayed = RelayedAge(3_000, 0)))
        awaitControlThread()

        assertTrue(confirmations.last() <= SystemClock.steady() - 3_000)
    }

    @Test
    fun `a full read of an earlier era that completes late is dropped`() {
        testSubject.start()
        registry.completeFullRead(9, era = 1)
        awaitControlThread()
        testSubject.refresh()
        val olderRead = registry.awaitFullRead()
        testSubject.refresh()
        registry.completeFullRead(5, era = 2)
        awaitControlThread()
        received.clear()
        olderRead.complete(RegistryRecords(emptyList(), 11, era = 1).right())
        awaitControlThread()

        assertEquals(emptyList(), received)
    }

    /** Waits until the control thread has run all queued actions. */
    private fun awaitControlThread() {
        val done = CountDownLatch(1)
        thread.execute(done::countDown)
        done.await()
    }

    // Guards against a daemon that stops following the registry because of one record that it can't handle.
    @Test
    fun `the registry is read again after a response that could not be decoded or applied`() {
        testSubject.start()
        registry.awaitFullRead().completeExceptionally(IllegalStateException("a record with an unexpected value"))
        registry.awaitAnotherFullRead(1)
        failingRecords = 1
        registry.completeFullRead(2)
        registry.awaitAnotherFullRead(2)
        registry.completeFullRead(3)
        awaitControlThread()

        assertTrue(testSubject.hasLoaded)
    }

    private companion object {
        val REMOVAL = RegistryRecord.Removed(HostId("a"))
    }

    private inner class FakeRegistry : Registry {
        private val fullReads = mutableListOf<CompletableFuture<Either<RegistryFailure, RegistryRecords>>>()
        private val changes = CompletableFuture<Either<RegistryFailure, RegistryRecords>>()
        private val changesRequested = CountDownLatch(1)

        override fun readAll(part: RegistryPart) =
            CompletableFuture<Either<RegistryFailure, RegistryRecords>>().also { fullReads += it }

        override fun readChanges(
            part: RegistryPart,
            version: Long,
            era: Long?,
            maxWait: Duration,
        ) = changes.also { changesRequested.countDown() }

        fun awaitFullRead(): CompletableFuture<Either<RegistryFailure, RegistryRecords>> {
            awaitControlThread()
            return fullReads.last()
        }

        fun awaitAnotherFullRead(after: Int) {
            val deadline = System.nanoTime() + Duration.ofSeconds(20).toNanos()
            while (true) {
                awaitControlThread()
                if (fullReads.size > after) return
                check(System.nanoTime() < deadline) { "expected more than $after full reads" }
                Thread.sleep(10)
            }
        }

        fun completeFullRead(
            version: Long,
            era: Long? = null,
        ) {
            awaitFullRead().complete(RegistryRecords(emptyList(), version, era).right())
        }

        fun completeChanges(records: RegistryRecords) {
            changesRequested.await()
            awaitControlThread()
            changes.complete(records.right())
        }

        fun failChanges() {
            changesRequested.await()
            changes.complete(RegistryFailure.Unavailable(StoreFailure.AnswerLost).left())
        }
    }
}
