package org.vanillalink.serving.choice

import org.vanillalink.model.HostId
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class RepeatedFailuresTest {
    private val testSubject = RepeatedFailures(strikesBeforeRefusal = 3)

    @Test
    fun `a request is refused once it has struck three targets`() {
        listOf("a", "b").forEach { testSubject.struck(Strike(REQUEST, HostId(it)), now = 0) }
        assertFalse(testSubject.refuses(REQUEST, now = 1))
        testSubject.struck(Strike(REQUEST, HostId("c")), now = 1)
        assertTrue(testSubject.refuses(REQUEST, now = 2))
    }

    @Test
    fun `the same strike told twice counts once`() {
        repeat(3) { testSubject.struck(Strike(REQUEST, HostId("a")), now = it.toLong()) }
        assertFalse(testSubject.refuses(REQUEST, now = 3))
    }

    private companion object {
        val REQUEST = RequestFingerprint("body")
    }
}
