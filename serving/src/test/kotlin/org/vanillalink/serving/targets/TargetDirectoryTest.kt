package org.vanillalink.serving.targets

import org.vanillalink.model.HostId
import org.vanillalink.serving.entry
import kotlin.test.Test
import kotlin.test.assertEquals

internal class TargetDirectoryTest {
    private val testSubject = TargetDirectory().withEntry(entry("a")).withEntry(entry("b"))

    @Test
    fun `a removed entry is dropped immediately`() {
        assertEquals(setOf(HostId("b")), testSubject.withoutEntry(HostId("a"), now = 0).entries.keys)
    }

    @Test
    fun `an entry that expired in an outage is kept for a while`() {
        val after = testSubject.withSnapshot(listOf(entry("b")), keepMissingUntil = 2_000)
        assertEquals(setOf(HostId("a"), HostId("b")), after.withoutExpired(1_999).entries.keys)
        assertEquals(setOf(HostId("b")), after.withoutExpired(2_000).entries.keys)
    }

    @Test
    fun `an entry that is listed again in time stays`() {
        val after = testSubject.withSnapshot(listOf(entry("b")), keepMissingUntil = 2_000).withEntry(entry("a"))
        assertEquals(setOf(HostId("a"), HostId("b")), after.withoutExpired(5_000).entries.keys)
    }

    @Test
    fun `a second outage does not extend the time of an entry that was already missing`() {
        val twice =
            testSubject
                .withSnapshot(
                    listOf(entry("b")),
                    keepMissingUntil = 2_000,
                ).withSnapshot(listOf(entry("b")), keepMissingUntil = 9_000)
        assertEquals(setOf(HostId("b")), twice.withoutExpired(2_000).entries.keys)
    }
}
