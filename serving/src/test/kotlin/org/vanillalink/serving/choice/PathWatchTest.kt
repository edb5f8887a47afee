package org.vanillalink.serving.choice

import org.vanillalink.serving.IKEJA
import kotlin.test.Test
import kotlin.test.assertEquals

internal class PathWatchTest {
    private val testSubject = PathWatch()

    @Test
    fun `one failure domain's share lost - all stands still there and no daemon is heard`() {
        testSubject.heard(IKEJA, now = 0)
        assertEquals(setOf(IKEJA), testSubject.unreachable(mapOf(IKEJA to OutstandingWork(3, 3)), now = 500))
    }

    @Test
    fun `a group that stands still while daemons there are heard is no cut`() {
        testSubject.heard(IKEJA, now = 400)
        assertEquals(emptySet(), testSubject.unreachable(mapOf(IKEJA to OutstandingWork(3, 3)), now = 500))
    }

    @Test
    fun `one target that moves shows that the path is whole`() {
        testSubject.heard(IKEJA, now = 0)
        assertEquals(emptySet(), testSubject.unreachable(mapOf(IKEJA to OutstandingWork(3, 2)), now = 500))
    }

    @Test
    fun `where daemons have been gone for long a single stalled group is no cut`() {
        testSubject.heard(IKEJA, now = 0)
        assertEquals(emptySet(), testSubject.unreachable(mapOf(IKEJA to OutstandingWork(1, 1)), now = 9_000))
    }

    @Test
    fun `the failure domain is used again once a daemon there is heard`() {
        testSubject.heard(IKEJA, now = 0)
        testSubject.unreachable(mapOf(IKEJA to OutstandingWork(3, 3)), now = 500)
        assertEquals(setOf(IKEJA), testSubject.unreachable(emptyMap(), now = 2_000))
        testSubject.heard(IKEJA, now = 2_100)
        assertEquals(emptySet(), testSubject.unreachable(emptyMap(), now = 2_150))
    }
}
