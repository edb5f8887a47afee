package org.vanillalink.transport

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ServerSentEventDecoderTest {
    private val testSubject = ServerSentEventDecoder(maxEventBytes = 64)

    @Test
    fun `an event that arrives byte by byte is returned when it is complete`() {
        val bytes = "data: one\n\ndata: two\r\n\r\n".encodeToByteArray()

        val events = bytes.flatMap { testSubject.decode(byteArrayOf(it)) }

        assertEquals(listOf("one", "two"), events)
    }

    @Test
    fun `several events in one chunk are returned in order`() {
        val events = testSubject.decode(": comment\ndata: one\n\ndata:two\ndata: lines\n\n".encodeToByteArray())

        assertEquals(listOf("one", "two\nlines"), events)
    }

    @Test
    fun `no events are returned after an event that exceeds the limit`() {
        val events = testSubject.decode(("data: " + "x".repeat(100) + "\n\ndata: one\n\n").encodeToByteArray())

        assertEquals(emptyList(), events)
        assertTrue(testSubject.hasOverflowed)
    }
}
