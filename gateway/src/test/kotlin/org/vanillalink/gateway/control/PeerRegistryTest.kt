package org.vanillalink.gateway.control

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.gateway.ports.RelayedAge
import org.vanillalink.model.DaemonId
import org.vanillalink.model.Endpoint
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** A daemon whose followers are the peers `b` and `c`, of which it asks one; reads are written down. */
internal class PeerRegistryTest {
    private val thread = ControlThread()
    private val reads = mutableListOf<String>()
    private var followers = listOf(DaemonId("b"), DaemonId("c"))
    private var peerAnswer: Either<RegistryFailure, RegistryRecords> = records(RelayedAge(0, 0))
    private val selection =
        object : PeerSelection {
            override fun followers() = followers

            override fun endpoint(daemon: DaemonId) = Endpoint(daemon.value, 1)
        }
    private val testSubject =
        PeerRegistry(
            DaemonId("a"),
            FakeRegistry("store") { records(relayed = null) },
            { peer -> FakeRegistry(peer.address) { peerAnswer } },
            selection,
            thread,
            EventLogger(DaemonId("a"), SystemClock::steady),
            SystemClock,
        )

    @AfterTest
    fun stop() = thread.close()

    // Guards against calls of the store that grow with daemons (sahwa-activate: 8,583 in 53 s).
    @Test
    fun `changes are read from one peer, and only full reads from the store`() {
        repeat(3) { readChanges() }
        testSubject.readAll(RegistryPart.TARGETS)

        assertEquals(listOf("c waits", "c waits", "c waits", "store reads all"), reads)
    }

    // Guards against a change that isn't known in time as a peer ended, stands still or is cut off.
    @Test
    fun `the store is asked at once in place of a peer that fails, and the other peer next`() {
        peerAnswer = RegistryFailure.Unavailable(StoreFailure.AnswerLost).left()
        assertEquals(null, readChanges()?.relayed)
        readChanges()
        readChanges()

        assertEquals(listOf("c waits", "store", "b waits", "store", "store waits"), reads)
    }

    @Test
    fun `what a peer says of another era is left to the store`() {
        peerAnswer = records(RelayedAge(0, 0), era = 2)
        assertEquals(1, readChanges()?.era)
    }

    @Test
    fun `an answer that doesn't tell its age is not used`() {
        peerAnswer = records(relayed = null)
        readChanges()
        assertEquals(listOf("c waits", "store"), reads)
    }

    @Test
    fun `the store is followed where no peer is known, and by the followers themselves`() {
        followers = emptyList()
        readChanges()
        followers = listOf(DaemonId("a"), DaemonId("b"))
        readChanges()

        assertEquals(listOf("store waits", "store waits"), reads)
    }

    private fun readChanges(): RegistryRecords? {
        var result: RegistryRecords? = null
        runOnControlThread {
            testSubject.readChanges(RegistryPart.TARGETS, 7, 1, Duration.ofSeconds(1)).thenAccept {
                result = it.getOrNull()
            }
        }
        runOnControlThread { }
        return result
    }

    private fun runOnControlThread(action: () -> Unit) {
        val done = CountDownLatch(1)
        thread.execute {
            action()
            done.countDown()
        }
        done.await()
    }

    private fun records(
        relayed: RelayedAge?,
        era: Long = 1,
    ): Either<RegistryFailure, RegistryRecords> = RegistryRecords(emptyList(), 7, era, relayed).right()

    private inner class FakeRegistry(
        private val name: String,
        private val answer: () -> Either<RegistryFailure, RegistryRecords>,
    ) : Registry {
        override fun readAll(part: RegistryPart): CompletableFuture<Either<RegistryFailure, RegistryRecords>> {
            reads += "$name reads all"
            return CompletableFuture.completedFuture(answer())
        }

        override fun readChanges(
            part: RegistryPart,
            version: Long,
            era: Long?,
            maxWait: Duration,
        ): CompletableFuture<Either<RegistryFailure, RegistryRecords>> {
            reads += if (maxWait.isZero) name else "$name waits"
            return CompletableFuture.completedFuture(answer())
        }
    }
}
