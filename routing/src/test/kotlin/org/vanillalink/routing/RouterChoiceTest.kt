package org.vanillalink.routing

import org.vanillalink.model.BootId
import org.vanillalink.model.HostId
import org.vanillalink.model.RequestId
import java.time.Duration
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class RouterChoiceTest {
    private val testSubject = RouterFixture()
    private val prefix = listOf(11L, 12L, 13L, 14L)

    @Test
    fun `a lagging report is corrected by the attempts that this daemon started since`() {
        testSubject.target("a", capacity = 8, load = load(running = 0))
        testSubject.target("b", capacity = 8, load = load(running = 4))
        testSubject.now = Instant.EPOCH.plusMillis(1)

        val hosts = (1..12).flatMap { testSubject.arrive("r$it").startedHosts() }

        assertEquals(8, hosts.count { it == "a" })
        assertEquals(4, hosts.count { it == "b" })
    }

    @Test
    fun `an attempt that ended after the report no longer counts as load`() {
        testSubject.target("a", capacity = 1)
        testSubject.arrive("r1")
        testSubject.target("a", capacity = 1, load = load(running = 1))
        testSubject.now = Instant.EPOCH.plusMillis(5)
        testSubject.finish("r1")

        val hosts = testSubject.arrive("r2").startedHosts()

        assertEquals(listOf("a"), hosts)
    }

    @Test
    fun `a cached prefix attracts requests until the target is more utilised than others`() {
        testSubject.target("a", capacity = 10)
        testSubject.target("b", capacity = 10)
        cache(sequence = 1, added = prefix)

        val hosts = (1..12).flatMap { testSubject.arrive("r$it", prefix = prefix).startedHosts() }

        assertEquals(listOf("b", "b", "b"), hosts.take(3))
        assertTrue("a" in hosts)
    }

    @Test
    fun `without cache events the prefixes of answered requests count as cached for five minutes`() {
        val set = CachedPrefixes(BootId("1"))

        set.learnFromAnswer(prefix, Instant.EPOCH)
        val fresh = set.matchedFraction(prefix)
        set.removeExpired(Instant.EPOCH.plusSeconds(301), Duration.ofSeconds(10))

        assertEquals(1.0, fresh)
        assertEquals(0.0, set.matchedFraction(prefix))
    }

    @Test
    fun `cache events take precedence over answered requests`() {
        val set = CachedPrefixes(BootId("1"))
        set.apply(cacheEvent(sequence = 1, removed = prefix), Instant.EPOCH)

        set.learnFromAnswer(prefix, Instant.EPOCH)

        assertEquals(0.0, set.matchedFraction(prefix))
    }

    @Test
    fun `after a gap in cache events older prefixes count half until they are removed`() {
        val set = CachedPrefixes(BootId("1"))
        set.apply(cacheEvent(sequence = 1, added = listOf(11)), Instant.EPOCH)
        set.apply(cacheEvent(sequence = 5, added = listOf(21)), Instant.EPOCH.plusSeconds(1))

        assertEquals(0.5, set.matchedFraction(listOf(11)))
        assertEquals(1.0, set.matchedFraction(listOf(21)))
        set.removeExpired(Instant.EPOCH.plusSeconds(11), Duration.ofSeconds(10))
        assertEquals(0.0, set.matchedFraction(listOf(11)))
        assertEquals(1.0, set.matchedFraction(listOf(21)))
    }

    @Test
    fun `a late cache event and one of another boot change nothing`() {
        val set = CachedPrefixes(BootId("1"))
        set.apply(cacheEvent(sequence = 2, added = listOf(11)), Instant.EPOCH)

        set.apply(cacheEvent(sequence = 1, removed = listOf(11)), Instant.EPOCH)
        set.apply(cacheEvent(sequence = 3, removed = listOf(11)).copy(boot = BootId("2")), Instant.EPOCH)

        assertEquals(1.0, set.matchedFraction(listOf(11)))
    }

    @Test
    fun `a straggler is used only when nothing else has room`() {
        testSubject.target("slow", capacity = 4, straggler = true)
        testSubject.target("a", capacity = 2)

        val hosts = (1..3).flatMap { testSubject.arrive("r$it").startedHosts() }

        assertEquals(listOf("a", "a", "slow"), hosts)
    }

    @Test
    fun `a unit stays in use until the target confirms the end of execution, even if it is removed and listed again`() {
        testSubject.target("a", capacity = 4, units = 1)
        testSubject.arrive("r1", repeatable = false)
        testSubject.fail("r1", executionEnded = false)
        testSubject.feed(RouterEvent.CandidatesChanged(SERVICE, emptyList()))
        testSubject.target("a", capacity = 4, units = 1)

        val whileInUse = testSubject.arrive("r2").starts()
        val afterEnd = testSubject.feed(RouterEvent.AttemptExecutionEnded(RequestId("r1"), 1)).startedRequests()

        assertEquals(emptyList(), whileInUse)
        assertEquals(listOf("r2"), afterEnd)
    }

    @Test
    fun `another boot of a target starts with all its units free`() {
        testSubject.target("a", units = 1)
        testSubject.arrive("r1")

        testSubject.target("a", units = 1, boot = "2")

        assertEquals(listOf("a"), testSubject.arrive("r2").startedHosts())
    }

    @Test
    fun `a leaving target gets no new requests while its running ones finish`() {
        testSubject.target("a")
        testSubject.arrive("r1")
        testSubject.target("a", leaving = true)
        testSubject.target("b", capacity = 1)

        val hosts = (2..4).flatMap { testSubject.arrive("r$it").startedHosts() }
        val answered = testSubject.finish("r1")

        assertEquals(listOf("b"), hosts)
        assertTrue(RouterDecision.AnswerRequest(RequestId("r1"), 1) in answered)
        assertEquals(emptyList(), answered.starts())
    }

    private fun load(running: Int) = ReportedLoad(running, 0, 1.0, Instant.EPOCH)

    private fun cache(
        sequence: Long,
        added: List<Long>,
    ) = testSubject.feed(cacheEvent(sequence, added).copy(host = HostId("b")))

    private fun cacheEvent(
        sequence: Long,
        added: List<Long> = emptyList(),
        removed: List<Long> = emptyList(),
    ) = RouterEvent.CacheEventsReceived(HostId("a"), BootId("1"), sequence, added, removed)
}
