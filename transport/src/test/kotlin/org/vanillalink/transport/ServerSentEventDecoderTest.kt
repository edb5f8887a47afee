package org.vanillalink.transport

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ServerSentEventDecoderTest {
    private val testSubject = ServerSentEventDecoder(maxEventBytes = 64)

    @Test
    fun `an event that arrives byte by byte is given once it is whole`() {
        val bytes = "data: one\n\ndata: two\r\n\r\n".encodeToByteArray()

        val events = bytes.flatMap { testSubject.decode(byteArrayOf(it)) }

        assertEquals(listOf("one", "two"), events)
    }

    @Test
    fun `several events in one piece are given in order`() {
        val events = testSubject.decode(": comment\ndata: one\n\ndata:two\ndata: lines\n\n".encodeToByteArray())

        assertEquals(listOf("one", "two\nlines"), events)
    }

    @Test
    fun `an event that is larger than allowed gives nothing more`() {
        val events = testSubject.decode(("data: " + "x".repeat(100) + "\n\ndata: one\n\n").encodeToByteArray())

        assertEquals(emptyList(), events)
        assertTrue(testSubject.hasOverflowed)
    }
}
