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
        assertEquals(4L, events?.firstId)
        assertEquals(5L, events?.lastId)
        assertTrue(testSubject.isMidEvent)
        assertFalse(testSubject.isTooLarge)
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
