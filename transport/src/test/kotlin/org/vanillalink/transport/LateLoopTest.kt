package org.vanillalink.transport

import arrow.core.Either
import io.netty.channel.EventLoop
import java.time.Duration
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** A client whose event loops are late: the time for which they did not run is no evidence of the server's silence. */
internal class LateLoopTest {
    private val loops = NettyEventLoops(1)
    private val testSubject = NettyHttpClient(loops)
    private val servers = ArrayList<RawServer>()

    @AfterTest
    fun stop() {
        servers.forEach { it.close() }
        loops.close()
    }

    // Guards against a sound server taken for silent as the loop was late before the request was written (issue 40).
    @Test
    fun `a call is not timed out by a loop that was late while the connection was being established`() {
        val server = serve { it.write(ANSWER) }

        val answer = CompletableFuture<Either<TransportFailure, HttpResponseMessage>>()
        loops.execute {
            testSubject
                .call(server.endpoint, REQUEST, TIMEOUT, ConnectionPolicy.NEW)
                .thenAccept { result -> answer.complete(result) }
            sleep(TIMEOUT.multipliedBy(2))
        }

        val result = answer.get(PATIENCE_SECONDS, TimeUnit.SECONDS)
        assertEquals(STATUS_OK, result.getOrNull()?.status, "$result")
    }

    // Guards against a sound server that counts as silent since each turn of the loop takes long (issue 40).
    @Test
    fun `a call is not timed out by a loop that is late in each turn`() {
        val server = serve { it.write(ANSWER) }
        val isEnded = CountDownLatch(1)
        delayEachTurn(isEnded)

        val result =
            testSubject
                .call(server.endpoint, REQUEST, TIMEOUT, ConnectionPolicy.NEW)
                .get(PATIENCE_SECONDS, TimeUnit.SECONDS)
        isEnded.countDown()

        assertEquals(STATUS_OK, result.getOrNull()?.status, "$result")
    }

    // Guards against an answer that lies unread in the socket when another loop's task ends the call (issue 40).
    @Test
    fun `a call is not timed out while its answer is unread as only the loop of its connection is late`() {
        NettyEventLoops(2).use { twoLoops ->
            val connectionThread = CompletableFuture<Thread>()
            val client = NettyHttpClient(twoLoops, listener = ThreadListener(connectionThread))
            val isAsked = CountDownLatch(1)
            val mayAnswer = CountDownLatch(1)
            val server =
                serve { connection ->
                    isAsked.countDown()
                    mayAnswer.await()
                    connection.write(ANSWER)
                }

            val answer = client.call(server.endpoint, REQUEST, TIMEOUT, ConnectionPolicy.NEW)
            isAsked.await()
            val late = twoLoops.group.filterIsInstance<EventLoop>().first { it.inEventLoop(connectionThread.get()) }
            late.execute {
                mayAnswer.countDown()
                sleep(TIMEOUT.multipliedBy(2))
            }

            val result = answer.get(PATIENCE_SECONDS, TimeUnit.SECONDS)
            assertEquals(STATUS_OK, result.getOrNull()?.status, "$result")
        }
    }

    // Guards against an answer that lies unread in the socket while the loop is busy with other connections (issue 40).
    @Test
    fun `a call is not timed out while its answer is unread as the loop is busy with another connection`() {
        val isAsked = CountDownLatch(1)
        val isBusy = CountDownLatch(1)
        val isAnswered = CountDownLatch(1)
        val other =
            serve { connection ->
                isAsked.await()
                connection.write(ANSWER)
            }
        val server =
            serve { connection ->
                isAsked.countDown()
                isBusy.await()
                connection.write(ANSWER)
                isAnswered.countDown()
            }
        testSubject.send(
            other.endpoint,
            REQUEST,
            SendOptions(ConnectionPolicy.NEW),
            BusyListener {
                isBusy.countDown()
                isAnswered.await()
                sleep(TIMEOUT.multipliedBy(2))
            },
        )

        val answer = testSubject.call(server.endpoint, REQUEST, TIMEOUT, ConnectionPolicy.NEW)

        val result = answer.get(PATIENCE_SECONDS, TimeUnit.SECONDS)
        assertEquals(STATUS_OK, result.getOrNull()?.status, "$result")
    }

    // Guards against a silent server that is never noticed as the loop is late again and again.
    @Test
    fun `a call to a silent server is timed out by a loop that is late in each turn, too`() {
        val mayEnd = CountDownLatch(1)
        val server = serve { mayEnd.await() }
        val isEnded = CountDownLatch(1)
        delayEachTurn(isEnded)

        val result =
            testSubject
                .call(server.endpoint, REQUEST, TIMEOUT, ConnectionPolicy.NEW)
                .get(PATIENCE_SECONDS, TimeUnit.SECONDS)
        isEnded.countDown()
        mayEnd.countDown()

        assertIs<TransportFailure.TimedOut>(result.leftOrNull())
    }

    private fun delayEachTurn(isEnded: CountDownLatch) {
        loops.execute {
            if (isEnded.count > 0) {
                sleep(TIMEOUT)
                loops.schedule(Duration.ofMillis(1)) { delayEachTurn(isEnded) }
            }
        }
    }

    private fun serve(answer: (RawConnection) -> Unit): RawServer {
        val server =
            RawServer { connection ->
                if (connection.readHead() != null) answer(connection)
            }
        servers += server
        return server
    }

    private fun sleep(time: Duration) = TimeUnit.MILLISECONDS.sleep(time.toMillis())

    /** Keeps the loop busy with [work] when the head of a response arrives. */
    private class BusyListener(
        private val work: () -> Unit,
    ) : ResponseListener {
        override fun onHead(
            status: Int,
            headers: HeaderFields,
        ) = work()

        override fun onBodyChunk(bytes: ByteArray) = Unit

        override fun onComplete() = Unit

        override fun onFailure(failure: TransportFailure) = Unit
    }

    /** Says on which thread a connection is. */
    private class ThreadListener(
        private val thread: CompletableFuture<Thread>,
    ) : ConnectionListener {
        override fun onOpened() {
            thread.complete(Thread.currentThread())
        }
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofMillis(800)
        const val PATIENCE_SECONDS = 30L
        const val CALLS = 4
        const val STATUS_OK = 200
        const val ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
        val REQUEST = HttpRequestMessage("GET", "/report")
    }
}
