package org.vanillalink.gateway.traffic

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class EventSplitterTest {
    private val testSubject = EventSplitter()

    @Test
    fun `complete events are returned unchanged and the rest is buffered`() {
        val events = testSubject.append("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6".toByteArray())

        assertEquals("id: 4\ndata: a\n\nid: 5\ndata: b\n\n", events?.bytes?.decodeToString())
        assertEquals(listOf(4L, 5L), events?.ids)
        assertEquals(false, events?.hasForeignText)
        assertTrue(testSubject.isMidEvent)
        assertFalse(testSubject.isTooLarge)
    }

    // Guards against passing on an error's text or head as if it were events.
    @Test
    fun `text that is neither an event with an id nor a comment is detected`() {
        val head = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n\r\n"
        for (text in listOf(head, "internal error\n\n", "data: failed\n\n", "id: x\ndata: a\n\n")) {
            assertEquals(true, EventSplitter().append("id: 4\ndata: a\n\n$text".toByteArray())?.hasForeignText, text)
        }
        for (text in listOf(": kept alive\n\n", "weight-versions: 2\nid: 5\ndata: b\n\n", "id: 5\r\ndata: b\r\n\r\n")) {
            assertEquals(false, EventSplitter().append("id: 4\ndata: a\n\n$text".toByteArray())?.hasForeignText, text)
        }
    }

    // Guards against unbounded memory use when a faulty engine sends an event that never ends.
    @Test
    fun `an event that never ends is detected before it uses much memory`() {
        val chunk = ByteArray(65_536) { 'x'.code.toByte() }
        var chunkCount = 0
        while (!testSubject.isTooLarge && chunkCount < 100) {
            assertNull(testSubject.append(chunk))
            chunkCount += 1
        }

        assertTrue(chunkCount <= 17, "$chunkCount chunks")
    }
}
