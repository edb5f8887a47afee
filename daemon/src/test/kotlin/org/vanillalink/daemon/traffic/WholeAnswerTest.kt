package org.vanillalink.daemon.traffic

import org.vanillalink.targets.TargetProtocol
import org.vanillalink.transport.HeaderFields
import org.vanillalink.transport.OUTCOME_HEADER
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class WholeAnswerTest {
    private val testSubject = TrafficFixture()
    private val healthy: (TargetExchange) -> Unit = { it.complete(LAST) }

    @AfterTest
    fun close() = testSubject.close()

    @Test
    fun `a crossed answer is dropped and the request answered by another target`() = assertResumed { exchange ->
        exchange.head(echoed = "another.1")
        exchange.token(0, text = "crossed")
    }

    @Test
    fun `a chunk of another attempt is dropped and its connection closed`() {
        val gone = CountDownLatch(1)

        assertResumed { exchange ->
            exchange.answer.onCallerDisconnected { gone.countDown() }
            exchange.head()
            exchange.token(0)
            exchange.token(1, echoed = "another.1", text = "crossed")
        }

        assertTrue(gone.await(TrafficFixture.BOUND_SECONDS, TimeUnit.SECONDS))
    }

    @Test
    fun `a stream without its end marker is gone on with at another target`() = assertResumed { exchange ->
        exchange.head()
        (0..1).forEach { exchange.token(it) }
        exchange.answer.finish()
    }

    @Test
    fun `a missing token ends the attempt`() = assertResumed { exchange ->
        exchange.head()
        exchange.token(0)
        exchange.token(2)
    }

    @Test
    fun `garbage instead of JSON ends the attempt`() = assertResumed { exchange ->
        exchange.head()
        exchange.token(0)
        exchange.event("{broken")
    }

    @Test
    fun `a target that closes at once is replaced`() = assertResumed { it.answer.abort() }

    @Test
    fun `a stream on a connection that went silent is gone on with at another target`() = assertResumed { exchange ->
        exchange.head()
        exchange.token(0)
        testSubject.endAttempts()
    }

    @Test
    fun `a caller that can't be resumed gets a typed error and no end marker`() {
        testSubject.targets(TrafficFixture.MODEL, { exchange ->
            exchange.head()
            exchange.token(exchange.resumeFrom)
            exchange.event("{broken")
        })

        val answer = testSubject.complete()

        assertFalse(answer.whole)
        assertTrue("answer-incomplete" in answer.text, answer.text)
        assertTrue("\"unknown\"" in answer.text, answer.text)
        assertFalse(TargetProtocol.STREAM_END in answer.text)
    }

    @Test
    fun `a target's refusal of the request itself is final`() {
        val runs = AtomicInteger()
        val refusing: (TargetExchange) -> Unit = { exchange ->
            runs.incrementAndGet()
            val echo = HeaderFields.of(TargetProtocol.ATTEMPT_HEADER to exchange.attempt)
            exchange.answer.respond(UNPROCESSABLE, echo, "prompt too long".encodeToByteArray())
        }
        testSubject.targets(TrafficFixture.MODEL, refusing, refusing)

        val answer = testSubject.complete()

        assertEquals(UNPROCESSABLE to "prompt too long", answer.status to answer.text)
        assertEquals(1, runs.get())
    }

    @Test
    fun `not-run is said where every target proves it and not where one doesn't`() {
        val proving: (TargetExchange) -> Unit = { exchange ->
            val proof = HeaderFields.of(TargetProtocol.NOT_RUN_HEADER to exchange.attempt)
            exchange.answer.respond(UNAVAILABLE, proof)
        }
        testSubject.targets(TrafficFixture.MODEL, proving)
        testSubject.targets(TrafficFixture.PLAIN, { it.answer.respond(UNAVAILABLE) })

        val proved = testSubject.complete()
        val unproved = testSubject.post("/orders")

        assertEquals("not-run", proved.headers[OUTCOME_HEADER])
        assertEquals("unknown", unproved.headers[OUTCOME_HEADER])
    }

    @Test
    fun `a plain service's crossed answer never reaches the caller`() {
        testSubject.targets(TrafficFixture.PLAIN, { exchange ->
            val crossed = HeaderFields.of(TargetProtocol.ATTEMPT_HEADER to "another.1")
            exchange.answer.respond(OK, crossed, "another's".encodeToByteArray())
        })

        val answer = testSubject.post("/orders")

        assertFalse("another's" in answer.text)
        assertEquals("unknown", answer.headers[OUTCOME_HEADER])
    }

    /** The first target breaks as [script] says; the caller's answer must still be whole. */
    private fun assertResumed(script: (TargetExchange) -> Unit) {
        testSubject.targets(TrafficFixture.MODEL, script, healthy)

        val answer = testSubject.complete()

        assertTrue(answer.whole, answer.text)
        val tokens = TOKEN.findAll(answer.text).map { it.groupValues[1].toInt() }.toList()
        assertEquals((0..LAST).toList(), tokens, answer.text)
        assertTrue(TargetProtocol.STREAM_END in answer.text)
        assertFalse("crossed" in answer.text)
    }

    private companion object {
        const val OK = 200
        const val UNPROCESSABLE = 422
        const val UNAVAILABLE = 503
        const val LAST = 4
        val TOKEN = Regex(""""content":"t(\d+) """")
    }
}
