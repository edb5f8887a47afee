package org.vanillalink.daemon.traffic

import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class CallerPortTest {
    private val testSubject = TrafficFixture()

    @AfterTest
    fun close() = testSubject.close()

    @Test
    fun `a slow reader holds back only its own stream`() {
        val heldBack = CountDownLatch(1)
        testSubject.targets(TrafficFixture.MODEL, { exchange ->
            if (SLOW in exchange.request.body.decodeToString()) pour(exchange, heldBack) else exchange.complete(LAST)
        })

        Socket(testSubject.endpoint.address, testSubject.endpoint.port).use { slow ->
            slow.getOutputStream().write(completion(SLOW).encodeToByteArray())
            val held = heldBack.await(TrafficFixture.BOUND_SECONDS, TimeUnit.SECONDS)
            val others = (1..3).map { testSubject.complete("other $it") }

            assertTrue(held)
            assertTrue(others.all { it.whole }, others.toString())
        }
    }

    @Test
    fun `malformed and oversized requests get a typed answer and the daemon goes on`() {
        testSubject.targets(TrafficFixture.MODEL, { it.complete(LAST) })
        val headers = "host: h\r\nvanillalink-workspace: gritworks\r\n"
        val path = CallerProtocol.COMPLETIONS_PATH

        val noHttp = statusOf("complete nonsense\r\n\r\n")
        val largeHeader = statusOf("POST $path HTTP/1.1\r\nx: ${"y".repeat(LARGE_HEADER_BYTES)}\r\n\r\n")
        val largeBody = statusOf("POST $path HTTP/1.1\r\n${headers}content-length: 99999999\r\n\r\n")
        val brokenJson = statusOf("POST $path HTTP/1.1\r\n${headers}content-length: 1\r\n\r\n{")

        assertEquals(listOf("400", "431", "413", "400"), listOf(noHttp, largeHeader, largeBody, brokenJson))
        assertTrue(testSubject.complete().whole)
    }

    /** Writes until the daemon takes no more. */
    private fun pour(
        exchange: TargetExchange,
        heldBack: CountDownLatch,
    ) {
        exchange.head()
        val text = "x".repeat(LARGE_TOKEN_CHARACTERS)
        var index = 0
        while (exchange.answer.isWritable && index < MOST_TOKENS) exchange.token(index++, text = text)
        if (index == MOST_TOKENS) return
        exchange.answer.onWritable { pourOn(exchange, index, text) }
        heldBack.countDown()
    }

    private fun pourOn(
        exchange: TargetExchange,
        from: Int,
        text: String,
    ) {
        exchange.token(from, text = text)
    }

    private fun statusOf(raw: String): String =
        Socket(testSubject.endpoint.address, testSubject.endpoint.port).use { socket ->
            socket.soTimeout = TimeUnit.SECONDS.toMillis(TrafficFixture.BOUND_SECONDS).toInt()
            socket.getOutputStream().write(raw.encodeToByteArray())
            val line = socket.getInputStream().bufferedReader().readLine()
            line.split(' ')[1]
        }

    private fun completion(content: String): String {
        val body = """{"model":"${TrafficFixture.MODEL}","stream":true,"messages":[{"content":"$content"}]}"""
        return "POST ${CallerProtocol.COMPLETIONS_PATH} HTTP/1.1\r\nhost: h\r\nvanillalink-workspace: gritworks\r\n" +
            "content-length: ${body.length}\r\n\r\n$body"
    }

    private companion object {
        const val SLOW = "slow"
        const val LAST = 4
        const val LARGE_TOKEN_CHARACTERS = 16_384
        const val MOST_TOKENS = 10_000
        const val LARGE_HEADER_BYTES = 40_000
    }
}
