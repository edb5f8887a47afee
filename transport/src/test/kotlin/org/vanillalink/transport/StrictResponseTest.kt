package org.vanillalink.transport

import java.time.Duration
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Responses that two heads may have been joined to, or whose end can be understood in two ways. */
internal class StrictResponseTest {
    private val loops = NettyEventLoops(1)
    private val counters = ConnectionCounters()
    private val testSubject = NettyHttpClient(loops, listener = counters)

    @AfterTest
    fun stop() = loops.close()

    // Guards against the beginning of one response and the rest of another that are taken for one (MIXED, issue 37).
    @Test
    fun `a status line within a response is malformed`() {
        assertMalformed("HTTP/1.1 500 InHTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_REASON)
        assertMalformed("HTTP/1.1 500 HTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_REASON)
        assertMalformed("HTTP/1.1 500 Error\rHTTP/1.0 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_REASON)
        assertMalformed("HTTP/1.1 200 OK\r\nDate: SatHTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nDate:HTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nDate: a\r\n b HTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nDaHTTP/1.1 200 OK$LENGTH", ResponseFault.FIELD_NAME)
        assertMalformed("HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK$LENGTH", ResponseFault.FIELD_NAME)
        assertMalformed("HTTP/1.1 100 CoHTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS_LINE_IN_REASON)
        assertMalformed("$CHUNKED_BODY\r\nX-End: aHTTP/1.1 200 OK\r\n\r\n", ResponseFault.STATUS_LINE_IN_FIELD)
    }

    @Test
    fun `a status line of another version or with another status is malformed`() {
        assertMalformed("HTTHTTP/1.1 200 OK$LENGTH", ResponseFault.VERSION)
        assertMalformed("HTTP/1.HTTP/1.1 200 OK$LENGTH", ResponseFault.VERSION)
        assertMalformed("HTTP/2.0 200 OK$LENGTH", ResponseFault.VERSION)
        assertMalformed("HTTP/1.2 200 OK$LENGTH", ResponseFault.VERSION)
        assertMalformed("ICY/1.1 200 OK$LENGTH", ResponseFault.VERSION)
        assertMalformed("HTTP/1.1 2000 OK$LENGTH", ResponseFault.STATUS)
        assertMalformed("HTTP/1.1 000 OK$LENGTH", ResponseFault.STATUS)
        assertMalformed("HTTP/1.1 600 OK$LENGTH", ResponseFault.STATUS)
        assertMalformed("HTTP/1.1 0200 OK$LENGTH", ResponseFault.STATUS)
        assertMalformed("HTTP/1.1 +20 OK$LENGTH", ResponseFault.STATUS)
        assertMalformed("HTTP/1.1 2HTTP/1.1 200 OK$LENGTH", ResponseFault.STATUS)
        assertMalformed("HTTP/1.1 101 Switching Protocols\r\nUpgrade: h2c\r\n\r\n", ResponseFault.PROTOCOL_SWITCH)
    }

    @Test
    fun `a line that is no field is malformed`() {
        assertMalformed("HTTP/1.1 200 OK\r\nX Field: 1$LENGTH", ResponseFault.FIELD_NAME)
        assertMalformed("HTTP/1.1 200 OK\r\nX-Field : 1$LENGTH", ResponseFault.FIELD_NAME)
        assertMalformed("HTTP/1.1 200 OK\r\nno field$LENGTH", ResponseFault.FIELD_NAME)
        assertMalformed("HTTP/1.1 200 OK\r\nnothing$LENGTH", ResponseFault.UNDECODABLE)
        assertMalformed("HTTP/1.1 200 OK\r\nX/Field: 1$LENGTH", ResponseFault.UNDECODABLE)
        assertMalformed("HTTP/1.1 200 OK\r\n: 1$LENGTH", ResponseFault.UNDECODABLE)
        assertMalformed("HTTP/1.1 200 OK\r\nX-Field: 1\rX-Other: 2$LENGTH", ResponseFault.UNDECODABLE)
    }

    // Guards against two responses of which one ends where the other one's length says.
    @Test
    fun `a field that can be there only once is malformed a second time`() {
        assertMalformed("HTTP/1.1 200 OK\r\nDate: a\r\nX: b\r\ndate: a$LENGTH", ResponseFault.REPEATED_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Type: a\r\nContent-Type: b$LENGTH", ResponseFault.REPEATED_FIELD)
        assertMalformed("HTTP/1.0 200 OK\r\nContent-Length: 2$LENGTH", ResponseFault.REPEATED_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 2$LENGTH", ResponseFault.REPEATED_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 1$LENGTH", ResponseFault.REPEATED_FIELD)
        assertMalformed("HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok", ResponseFault.UNDECODABLE)
        assertMalformed("$CHUNKED_HEAD$LENGTH", ResponseFault.LENGTH_AND_CHUNKS)
        assertMalformed("$CHUNKED_HEAD\r\nTransfer-Encoding: chunked\r\n\r\n", ResponseFault.REPEATED_FIELD)
        assertMalformed(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            ResponseFault.TRANSFER_ENCODING,
        )
        assertMalformed(
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ResponseFault.UNDECODABLE,
        )
    }

    @Test
    fun `a proper response is returned`() {
        listOf(
            "HTTP/1.1 200 $LENGTH",
            "HTTP/1.1 200$LENGTH",
            "HTTP/1.0 200 OK$LENGTH",
            "HTTP/1.1 200 HTTP/1.1 is fine$LENGTH",
            "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nServer:\r\nX-Field: a\r\nX-Field: a$LENGTH",
            "HTTP/1.1 200 OK\r\nSet-Cookie: a=b\r\nSet-Cookie: c=d$LENGTH",
            "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK$LENGTH",
            "$CHUNKED_BODY\r\nX-End: HTTP/1.1\r\n\r\n",
        ).forEach { text ->
            val response = call(text).getOrNull()
            assertEquals("200 ok", "${response?.status} ${response?.body?.decodeToString()}", text)
        }
    }

    private fun assertMalformed(
        text: String,
        fault: ResponseFault,
    ) {
        val before = counters.malformed(fault)
        assertEquals(TransportFailure.MalformedResponse(fault.label), call(text).leftOrNull(), text)
        assertEquals(before + 1, counters.malformed(fault), text)
    }

    private fun call(text: String) = RawServer {
        it.readHead()
        it.write(text)
        it.readHead()
    }.use { server ->
        testSubject.call(server.endpoint, HttpRequestMessage("GET", "/"), TIMEOUT).get(TIMEOUT.toSeconds() * 2, SECONDS)
    }

    private companion object {
        val TIMEOUT: Duration = Duration.ofSeconds(5)
        val SECONDS = TimeUnit.SECONDS
        const val LENGTH = "\r\nContent-Length: 2\r\n\r\nok"
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
        const val CHUNKED_BODY = "$CHUNKED_HEAD\r\n\r\n2\r\nok\r\n0"
    }
}
