package org.vanillalink.gateway.traffic

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class EventSplitterTest {
    private val testSubject = EventSplitter()

    @Test
    fun `whole events are given as they came, and the rest is kept`() {
        val events = testSubject.append("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6".toByteArray())

        assertEquals("id: 4\ndata: a\n\nid: 5\ndata: b\n\n", events?.bytes?.decodeToString())
        assertEquals(4L, events?.firstId)
        assertEquals(5L, events?.lastId)
        assertTrue(testSubject.isMidEvent)
        assertFalse(testSubject.isTooLarge)
    }

    // Guards against an engine in trouble that sends bytes without end (letter 4).
    @Test
    fun `an event that never ends is noticed before it takes much memory`() {
        val chunk = ByteArray(65_536) { 'x'.code.toByte() }
        var chunkCount = 0
        while (!testSubject.isTooLarge && chunkCount < 100) {
            assertNull(testSubject.append(chunk))
            chunkCount += 1
        }

        assertTrue(chunkCount <= 17, "$chunkCount pieces")
    }
}
