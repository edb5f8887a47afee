package org.vanillalink.serving.targets

import org.vanillalink.model.HostId
import org.vanillalink.serving.entry
import kotlin.test.Test
import kotlin.test.assertEquals

internal class TargetDirectoryTest {
    private val testSubject = TargetDirectory().listed(entry("a")).listed(entry("b"))

    @Test
    fun `a removed entry is gone at once`() {
        assertEquals(setOf(HostId("b")), testSubject.removed(HostId("a"), now = 0).entries.keys)
    }

    @Test
    fun `an entry that lapsed in an outage is kept for a while`() {
        val after = testSubject.replaced(listOf(entry("b")), until = 2_000)
        assertEquals(setOf(HostId("a"), HostId("b")), after.expired(1_999).entries.keys)
        assertEquals(setOf(HostId("b")), after.expired(2_000).entries.keys)
    }

    @Test
    fun `an entry that comes back in time stays`() {
        val after = testSubject.replaced(listOf(entry("b")), until = 2_000).listed(entry("a"))
        assertEquals(setOf(HostId("a"), HostId("b")), after.expired(5_000).entries.keys)
    }

    @Test
    fun `a second outage does not lengthen the time of an entry that was missing before`() {
        val twice = testSubject.replaced(listOf(entry("b")), until = 2_000).replaced(listOf(entry("b")), until = 9_000)
        assertEquals(setOf(HostId("b")), twice.expired(2_000).entries.keys)
    }
}
