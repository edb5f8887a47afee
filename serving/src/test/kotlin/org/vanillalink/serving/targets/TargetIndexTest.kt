package org.vanillalink.serving.targets

import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.model.ServiceName
import org.vanillalink.serving.IKEJA
import org.vanillalink.serving.entry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotSame
import kotlin.test.assertSame

internal class TargetIndexTest {
    private val writer = ServiceName("writer")
    private val apapa = FailureDomainId("apapa")
    private val desk = entry("d").copy(service = ServiceName("desk"), fabricDomain = null)
    private val directory =
        TargetDirectory()
            .withSnapshot(
                listOf(entry("a"), entry("b"), entry("c").copy(failureDomain = apapa), desk),
                keepMissingUntil = 0,
            ).withoutEntry(HostId("b"), now = 0)
    private val testSubject = TargetIndex(directory)

    @Test
    fun `targets are found by service and failure domain`() {
        assertEquals(setOf(HostId("a")), testSubject.entries(writer, IKEJA).keys)
        assertEquals(setOf(HostId("b")), testSubject.removedEntries(writer, IKEJA).keys)
        assertEquals(setOf(HostId("c")), testSubject.entries(writer, apapa).keys)
        assertEquals(emptyMap(), testSubject.entries(desk.service, apapa))
        assertEquals(listOf(desk), testSubject.plainTargets[desk.service])
        assertEquals(0.5, testSubject.targetFraction(writer, IKEJA))
    }

    // Guards against an iteration over the whole fleet at each tick.
    @Test
    fun `the index is not rebuilt while the directory does not change`() {
        assertSame(testSubject, testSubject.updatedFor(directory))
        assertNotSame(testSubject, testSubject.updatedFor(directory.withEntry(entry("e"))))
    }

    // Guards against a full read of a large fleet that copies the directory once for each of its targets.
    @Test
    fun `entries that are the same as in a full read do not change the directory again`() {
        val fleet = (1..12_000).map { entry("i-$it") }
        val snapshot = TargetDirectory().withSnapshot(fleet, keepMissingUntil = 0)

        assertSame(snapshot, fleet.fold(snapshot) { directory, entry -> directory.withEntry(entry) })
        assertSame(snapshot, snapshot.withoutExpired(now = 1))
    }
}
