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
        val events = testSubject.add("id: 4\ndata: a\n\nid: 5\ndata: b\n\nid: 6".toByteArray())

        assertEquals("id: 4\ndata: a\n\nid: 5\ndata: b\n\n", events?.bytes?.decodeToString())
        assertEquals(4L, events?.firstId)
        assertEquals(5L, events?.lastId)
        assertTrue(testSubject.isMidEvent)
        assertFalse(testSubject.isEndless)
    }

    // Guards against an engine in trouble that sends bytes without end (letter 4).
    @Test
    fun `an event that never ends is noticed before it takes much memory`() {
        val piece = ByteArray(65_536) { 'x'.code.toByte() }
        var taken = 0
        while (!testSubject.isEndless && taken < 100) {
            assertNull(testSubject.add(piece))
            taken += 1
        }

        assertTrue(taken <= 17, "$taken pieces")
    }
}
