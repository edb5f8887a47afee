package org.vanillalink.serving.balancing

import org.vanillalink.model.HostId
import org.vanillalink.serving.targets.TargetInstance
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

internal class PoisonRequestDetectorTest {
    private val testSubject = PoisonRequestDetector(Random(1))

    @Test
    fun `a request is refused after losses of three targets`() {
        listOf("a", "b").forEach { testSubject.lose(it, REQUEST, now = 0) }
        assertFalse(testSubject.isBlocked(REQUEST, now = 1))
        testSubject.lose("c", REQUEST, now = 1)
        assertTrue(testSubject.isBlocked(REQUEST, now = 2))
    }

    @Test
    fun `repeated losses of the same target count once`() {
        repeat(3) { testSubject.lose("a", REQUEST, now = it.toLong()) }
        assertFalse(testSubject.isBlocked(REQUEST, now = 3))
    }

    // Guards against heartbeats that grow with every loss because daemons keep reporting each other's observations.
    @Test
    fun `observations that two daemons report to each other are not reported forever`() {
        val peer = PoisonRequestDetector(Random(2))
        testSubject.lose("a", REQUEST, now = 0)
        testSubject.recordAnswer(request("other", "p"), begunAt = 0)
        for (now in 0L..60_000 step 100) {
            peer.recordReport(testSubject.buildReport(now), now + 50)
            testSubject.recordReport(peer.buildReport(now + 50), now + 100)
        }
        assertEquals(PoisonReport(), testSubject.buildReport(60_100))
        assertEquals(PoisonReport(), peer.buildReport(60_100))
    }

    // Guards against blocks that never end because daemons keep reporting them to each other.
    @Test
    fun `a block that daemons report to each other repeatedly still ends with a trial`() {
        val peer = PoisonRequestDetector(Random(2))
        listOf("a", "b", "c").forEach { testSubject.lose(it, REQUEST, now = 0) }
        for (now in 0L..TRIAL_AT_THE_LATEST step 100) {
            peer.receive(testSubject.buildReport(now), now + 50)
            testSubject.receive(peer.buildReport(now + 50), now + 100)
            assertTrue(now >= TRIAL_AT_THE_EARLIEST || peer.isBlocked(REQUEST, now + 100))
        }
        assertNull(testSubject.findBlockOrBeginTrial(REQUEST, TRIAL_AT_THE_LATEST))
        assertNotNull(testSubject.findBlockOrBeginTrial(REQUEST, TRIAL_AT_THE_LATEST + 1), "one trial at a time")
    }

    // Guards against crashing one target after the other with requests that differ but for one part of their prompts.
    @Test
    fun `different requests that share a part are refused after losses of three targets`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "first", "bad"), now = it.toLong()) }

        assertTrue(testSubject.isBlocked(request("new", "first", "bad"), now = 10))
    }

    // Guards against refusing all requests of a route because its first part is in every lost request.
    @Test
    fun `parts that sound requests carry, too, are not refused`() {
        testSubject.recordAnswer(request("s1", "first", "x"), begunAt = 0)
        repeat(8) { testSubject.lose("t$it", request("r$it", "first", "bad"), now = 10L + it) }
        testSubject.update(now = 5_000)

        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 5_000))
        assertFalse(testSubject.isBlocked(request("sound", "first", "y"), now = 5_000))
    }

    // Guards against refusing what waited on the same targets as the requests that crashed them.
    @Test
    fun `requests that waited on each lost target are not refused once another one explains the losses`() {
        repeat(6) { index ->
            testSubject.lose("t$index", request("w$index", "popular"), now = 10L * index)
            testSubject.lose("t$index", request("r$index", "bad"), now = 10L * index)
            testSubject.recordAnswer(request("s$index", "popular"), begunAt = 10L * index - 5)
        }
        testSubject.update(now = 5_000)

        assertFalse(testSubject.isBlocked(request("new", "popular"), now = 5_000))
        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 5_000))
    }

    // Guards against refusing all requests of a rarely used route for minutes because none was answered before.
    @Test
    fun `a part that was never answered is tried alone soon, and an answer leaves only the other one blocked`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "first", "bad"), now = 0) }
        assertNotNull(testSubject.findBlockOrBeginTrial(request("early", "first"), now = 500))
        assertNotNull(testSubject.findBlockOrBeginTrial(request("both", "first", "bad"), now = 2_500))
        assertNull(testSubject.findBlockOrBeginTrial(request("alone", "first"), now = 2_500))
        testSubject.recordAnswer(request("alone", "first"), begunAt = 2_600)
        testSubject.update(now = 2_600)

        assertFalse(testSubject.isBlocked(request("new", "first"), now = 2_600))
        assertTrue(testSubject.isBlocked(request("new", "first", "bad"), now = 2_600))
        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 200_000))
    }

    @Test
    fun `a loss during the trial of one of two parts leaves only that one blocked`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "first", "bad"), now = 0) }
        testSubject.lose("t3", request("alone", "bad"), now = 2_500)

        assertFalse(testSubject.isBlocked(request("new", "first"), now = 2_500))
        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 200_000))
    }

    @Test
    fun `a single request that is sent again does not block its parts`() {
        repeat(3) { testSubject.lose("t$it", request("r", "first", "rare"), now = it.toLong()) }

        assertTrue(testSubject.isBlocked(request("r", "first", "rare"), now = 10))
        assertFalse(testSubject.isBlocked(request("new", "first", "rare"), now = 10))
    }

    @Test
    fun `a part that was sound before is refused after losses of five targets without an answer since`() {
        testSubject.recordAnswer(request("s", "part"), begunAt = 0)
        repeat(4) { testSubject.lose("t$it", request("r$it", "part"), now = 100L + it) }
        testSubject.update(now = 2_000)
        assertFalse(testSubject.isBlocked(request("new", "part"), now = 2_000))
        testSubject.lose("t5", request("r5", "part"), now = 2_100)
        testSubject.update(now = 3_000)
        assertTrue(testSubject.isBlocked(request("new", "part"), now = 3_000))
    }

    @Test
    fun `losses seen by different daemons add up`() {
        val daemons = (0 until 3).map { PoisonRequestDetector(Random(it)) }
        daemons.forEachIndexed {
            index,
            daemon,
            ->
            daemon.lose("t$index", request("r$index", "bad"), now = index.toLong())
        }
        daemons.forEach { testSubject.receive(it.buildReport(now = 100), now = 100) }

        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 100))
    }

    // Guards against a daemon that sends such requests on because it started after the targets were lost.
    @Test
    fun `a daemon that starts later learns of a block from a daemon that has only heard of it`() {
        val witness = PoisonRequestDetector(Random(1))
        repeat(3) { witness.lose("t$it", request("r$it", "bad"), now = it.toLong()) }
        val peer = PoisonRequestDetector(Random(2)).apply { receive(witness.buildReport(now = 100), now = 150) }
        testSubject.receive(peer.buildReport(now = 40_000), now = 40_050)

        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 40_050))
    }

    @Test
    fun `an answer at one daemon ends a block at all`() {
        val peer = PoisonRequestDetector(Random(2))
        repeat(3) { testSubject.lose("t$it", request("r$it", "part"), now = it.toLong()) }
        peer.receive(testSubject.buildReport(now = 100), now = 100)
        assertTrue(peer.isBlocked(request("new", "part"), now = 100))
        peer.recordAnswer(request("s", "part"), begunAt = 150)
        peer.update(now = 200)
        testSubject.receive(peer.buildReport(now = 200), now = 200)

        assertFalse(peer.isBlocked(request("new", "part"), now = 200))
        assertFalse(testSubject.isBlocked(request("new", "part"), now = 200))
    }

    @Test
    fun `a loss during a trial prolongs the block`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "bad"), now = 0) }
        assertNull(testSubject.findBlockOrBeginTrial(request("trial", "bad"), TRIAL_AT_THE_LATEST))
        testSubject.lose("t9", request("trial", "bad"), now = TRIAL_AT_THE_LATEST + 100)

        assertTrue(testSubject.isBlocked(request("new", "bad"), TRIAL_AT_THE_LATEST + 200))
        assertTrue(testSubject.isBlocked(request("new", "bad"), TRIAL_AT_THE_LATEST + TRIAL_AT_THE_EARLIEST))
    }

    // Guards against refusing requests because targets that keep running reset their connections.
    @Test
    fun `a target that responds to a later request at once was not lost`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "part"), now = 0) }
        assertTrue(testSubject.isBlocked(request("new", "part"), now = 0))
        testSubject.recordSuccess(target("t0"), sentAt = 5, now = 60)
        testSubject.update(now = 60)

        assertFalse(testSubject.isBlocked(request("new", "part"), now = 60))
    }

    @Test
    fun `a response long after the loss may come from a new process and proves nothing`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "part"), now = 0) }
        testSubject.recordSuccess(target("t0"), sentAt = 2_900, now = 3_000)
        testSubject.update(now = 3_000)

        assertTrue(testSubject.isBlocked(request("new", "part"), now = 3_000))
    }

    // Guards against callers that make up parts to make a daemon forget what it has learned.
    @Test
    fun `many parts and many losses neither evict a block nor grow without bound`() {
        repeat(3) { testSubject.lose("t$it", request("r$it", "bad"), now = 0) }
        repeat(20_000) { testSubject.recordAnswer(request("a$it", "made-up-$it"), begunAt = 1) }
        val parts = (0 until 5_000).map { "made-up-$it" }
        repeat(
            400,
        ) { testSubject.lose("u$it", RequestSignature(RequestFingerprint("f$it"), parts), now = 10_000L + it) }
        testSubject.update(now = 20_000)

        assertTrue(testSubject.isBlocked(request("new", "bad"), now = 20_000))
        assertTrue(testSubject.buildReport(now = 12_000).losses.size <= 8)
    }

    // Guards against a request that crashes targets anew after each restart (BUDGET, review/9).
    @Test
    fun `a loss is kept once evidence of other daemons has arrived, with what was never answered`() {
        testSubject.lose("a", request("deadly", "common", "rare"), now = 0)
        testSubject.lose("a", request("sound", "common"), now = 0)
        testSubject.recordAnswer(request("sound", "common"), begunAt = 300)
        assertEquals(emptyList(), testSubject.openLosses(now = 1_000))

        val expected = ReportedLoss(target("a"), 6_000, listOf(request("deadly", "rare")))
        assertEquals(listOf(expected), testSubject.openLosses(now = 6_000))
    }

    // Guards against requests that are refused after restarts, since many targets ended for other reasons meanwhile.
    @Test
    fun `a loss is not kept where all of its requests were answered, at whichever daemon`() {
        val peer = PoisonRequestDetector(Random(2))
        testSubject.lose("a", REQUEST, now = 0)
        peer.receive(testSubject.buildReport(now = 50), now = 50)
        peer.recordAnswer(REQUEST, begunAt = 2_000)
        testSubject.receive(peer.buildReport(now = 2_100), now = 2_150)

        assertEquals(emptyList(), testSubject.openLosses(now = 6_000))
    }

    // Guards against the same while the table can't be read: daemons are restarted in turn, seldom enough that nobody
    // reports the losses any more (review/9).
    @Test
    fun `a daemon that starts later learns of losses that have not led to a block from its peers`() {
        listOf("a", "b").forEach { testSubject.lose(it, REQUEST, now = 0) }
        val later = PoisonRequestDetector(Random(2))
        testSubject.recordPeerStart(now = 60_000)
        later.receive(testSubject.buildReport(now = 60_100), now = 60_150)
        later.lose("c", REQUEST, now = 70_000)

        assertTrue(later.isBlocked(REQUEST, now = 70_000))
        assertEquals(PoisonReport(), testSubject.buildReport(now = 70_000), "they are not reported for ever")
    }

    @Test
    fun `what is kept of a loss is bounded, and requests that were lost most often come first`() {
        repeat(50) { testSubject.lose("a", request("once-$it"), now = 0) }
        repeat(50) { testSubject.lose("b", request("other-$it"), now = 0) }
        listOf("b", "c").forEach { testSubject.lose(it, request("deadly", "x".repeat(200), "rare"), now = 0) }
        val losses = testSubject.openLosses(now = 6_000).associateBy { it.target }

        assertEquals(16, losses.getValue(target("a")).suspects.size)
        assertEquals(16, losses.getValue(target("b")).suspects.size)
        assertEquals(request("deadly", "rare"), losses.getValue(target("b")).suspects.first())
    }

    private fun PoisonRequestDetector.lose(
        target: String,
        request: RequestSignature,
        now: Long,
    ) {
        recordLoss(target(target), request, now)
        update(now)
    }

    private fun PoisonRequestDetector.receive(
        report: PoisonReport,
        now: Long,
    ) {
        recordReport(report, now)
        update(now)
    }

    private fun PoisonRequestDetector.isBlocked(
        request: RequestSignature,
        now: Long,
    ) = findBlock(request, now) != null

    private companion object {
        val REQUEST = request("body")
        const val TRIAL_AT_THE_EARLIEST = 300_000L
        const val TRIAL_AT_THE_LATEST = 600_000L

        fun request(
            fingerprint: String,
            vararg sharedParts: String,
        ) = RequestSignature(RequestFingerprint(fingerprint), sharedParts.asList())

        fun target(id: String) = TargetInstance(HostId(id), 1)
    }
}
