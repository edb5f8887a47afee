package org.vanillalink.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.model.DaemonId
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
    private val told = mutableListOf<String>()
    private val testSubject =
        RegistryFollower(
            RegistryPart.TARGETS,
            registry,
            thread,
            SystemClock,
            EventLogger(DaemonId("a"), SystemClock::steady),
            wasAway = false,
            changed = { _, read -> told += "$read" },
            answered = { _, _ -> told += "answered" },
        )

    @AfterTest
    fun stop() = thread.close()

    // Guards against a daemon that says it is ready before it knows a target (CI of eb52d2d, WholePathTest).
    @Test
    fun `a part counts as read from its first whole answer on, also when the store is lost`() {
        testSubject.start()
        settle()
        assertFalse(testSubject.hasRead)
        registry.answerWhole(1)
        settle()
        assertTrue(testSubject.hasRead)
        registry.changesFail()
        settle()
        assertTrue(testSubject.hasRead)
    }

    @Test
    fun `a read for a decision while the store seems away is taken over as one after an outage`() {
        testSubject.start()
        registry.answerWhole(1)
        settle()
        registry.changesFail()
        settle()
        told.clear()
        testSubject.refresh()
        registry.answerWhole(2)
        settle()
        assertEquals(listOf("WHOLE_AFTER_OUTAGE", "answered"), told)
    }

    @Test
    fun `an older whole read that is answered late takes nothing back`() {
        testSubject.start()
        val first = registry.nextWhole()
        testSubject.refresh()
        registry.answerWhole(7)
        settle()
        told.clear()
        first.complete(RegistryRecords(emptyList(), 3).right())
        settle()
        assertEquals(listOf("answered"), told)
    }

    /** Waits until the control thread has done all that it was given. */
    private fun settle() {
        val done = CountDownLatch(1)
        thread.execute(done::countDown)
        done.await()
    }

    private inner class FakeRegistry : Registry {
        private val wholeReads = mutableListOf<CompletableFuture<Either<RegistryFailure, RegistryRecords>>>()
        private val changes = CompletableFuture<Either<RegistryFailure, RegistryRecords>>()
        private val changesAsked = CountDownLatch(1)

        override fun readAll(part: RegistryPart) =
            CompletableFuture<Either<RegistryFailure, RegistryRecords>>().also { wholeReads += it }

        override fun readChanges(
            part: RegistryPart,
            version: Long,
            maxWait: Duration,
        ) = changes.also { changesAsked.countDown() }

        fun nextWhole(): CompletableFuture<Either<RegistryFailure, RegistryRecords>> {
            settle()
            return wholeReads.last()
        }

        fun answerWhole(version: Long) {
            nextWhole().complete(RegistryRecords(emptyList(), version).right())
        }

        fun changesFail() {
            changesAsked.await()
            changes.complete(RegistryFailure.Unavailable(StoreFailure.AnswerLost).left())
        }
    }
}
