package org.vanillalink.gateway.peers

import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.GatewayClock
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.PoisonRequestDetector
import org.vanillalink.serving.balancing.ReportedBlock
import org.vanillalink.serving.balancing.ReportedLoss
import org.vanillalink.serving.balancing.RequestFingerprint
import org.vanillalink.serving.balancing.RequestSignature
import org.vanillalink.serving.balancing.RequestTrait
import org.vanillalink.serving.balancing.TraitKind
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.RowKey
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.StoreBehaviour
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

internal class PoisonRecordsTest {
    private val table = InMemoryTableStore()
    private val controlThread = ControlThread()
    private val clock = FakeClock()
    private val targets = setOf(TargetInstance(HostId("a"), 1), TargetInstance(HostId("b"), null))
    private val block = ReportedBlock(RequestTrait(TraitKind.PROMPT_PART, "bad"), 500, targets)

    private class FakeClock : GatewayClock {
        var time = 1_000_000L

        override fun steady() = time

        override fun wall() = time
    }

    private class FakeEvidence : PoisonEvidence {
        @Volatile
        var blocks: List<ReportedBlock> = emptyList()

        @Volatile
        var losses: List<ReportedLoss> = emptyList()

        @Volatile
        var adopted: List<ReportedBlock> = emptyList()

        @Volatile
        var adoptedLosses: List<ReportedLoss> = emptyList()

        override fun current() = PoisonReport(losses = losses, blocks = blocks)

        override fun adopt(report: PoisonReport) {
            adopted = report.blocks
            adoptedLosses = report.losses
        }
    }

    @AfterTest
    fun stop() = controlThread.close()

    // Guards against crashing targets again with the same requests after all daemons were killed at once.
    @Test
    fun `a daemon that starts after all others ended adopts the block that they had`() {
        val earlier = FakeEvidence()
        val earlierRecords = records(earlier)
        synchronize(earlierRecords)
        earlier.blocks = listOf(block)
        synchronize(earlierRecords)
        clock.time += 10_000
        val later = FakeEvidence()
        synchronize(records(later))

        assertEquals(listOf(block.copy(age = 10_500)), later.adopted)
    }

    // Guards against requests that a daemon sends on in the second after its start.
    @Test
    fun `blocks are read as soon as a daemon starts`() {
        records(FakeEvidence().apply { blocks = listOf(block) }).let { records -> repeat(2) { synchronize(records) } }
        val later = FakeEvidence()
        records(later).start()
        awaitControlThread()

        assertEquals(listOf(block), later.adopted)
    }

    @Test
    fun `a block that ended is not adopted`() {
        val earlier = FakeEvidence()
        val earlierRecords = records(earlier)
        synchronize(earlierRecords)
        earlier.blocks = listOf(block)
        synchronize(earlierRecords)
        earlier.blocks = emptyList()
        synchronize(earlierRecords)
        val later = FakeEvidence()
        synchronize(records(later))

        assertEquals(emptyList(), later.adopted)
    }

    // Guards against blocks that have ended and come back when the store comes back from an older copy.
    @Test
    fun `after a restoration a block that has ended is neither adopted nor kept, and one in force is written again`() {
        val ended = block.copy(trait = RequestTrait(TraitKind.PROMPT_PART, "ended"))
        val blocks = FakeEvidence().apply { blocks = listOf(ended) }
        val testSubject = records(blocks)
        repeat(2) { synchronize(testSubject) }
        val endedRow =
            table
                .scanNow("poison/")
                .getOrNull()
                ?.values
                ?.single()
                ?.value
        blocks.blocks = listOf(block)
        repeat(2) { synchronize(testSubject) }
        // The copy has the ended block and not the one in force.
        val keys = listOf("bad", "ended").map { RowKey("poison/PROMPT_PART:$it") }
        table.transactNow(listOf(ConditionalWrite(keys[0], expectedVersion = 1, value = null)))
        table.transactNow(listOf(ConditionalWrite(keys[1], ConditionalWrite.ABSENT, endedRow)))
        blocks.adopted = emptyList()
        controlThread.execute(testSubject::onStoreRestored)
        repeat(3) { synchronize(testSubject) }

        assertEquals(emptyList(), blocks.adopted)
        assertEquals(setOf(keys[0]), table.scanNow("poison/").getOrNull()?.keys)
    }

    @Test
    fun `a daemon that has not adopted the blocks yet does not remove them`() {
        val earlier = FakeEvidence().apply { blocks = listOf(block) }
        records(earlier).let { records -> repeat(2) { synchronize(records) } }
        val starting = records(FakeEvidence())
        repeat(3) { synchronize(starting) }

        assertEquals(1, table.scanNow("poison/").getOrNull()?.size)
    }

    @Test
    fun `only daemons with control write, and a block is written once`() {
        val blocks = FakeEvidence().apply { blocks = listOf(block) }
        records(blocks, isWriter = false).let { records -> repeat(2) { synchronize(records) } }
        assertTrue(
            table
                .scanNow("poison/")
                .getOrNull()
                .orEmpty()
                .isEmpty(),
        )
        records(blocks).let { records -> repeat(5) { synchronize(records) } }

        assertEquals(
            listOf(1L),
            table
                .scanNow("poison/")
                .getOrNull()
                ?.values
                ?.map { it.version },
        )
    }

    @Test
    fun `a block is written and read once the table responds again`() {
        table.behaviour = StoreBehaviour.UNAVAILABLE
        val blocks = FakeEvidence().apply { blocks = listOf(block) }
        val records = records(blocks)
        repeat(2) { synchronize(records) }
        table.behaviour = StoreBehaviour.LOSES_ANSWERS
        repeat(2) { synchronize(records) }
        table.behaviour = StoreBehaviour.ANSWERS
        repeat(3) { synchronize(records) }

        assertEquals(1, table.scanNow("poison/").getOrNull()?.size)
    }

    @Test
    fun `a row that can't be read is left out`() {
        table.transactNow(listOf(ConditionalWrite(RowKey("poison/x"), ConditionalWrite.ABSENT, "{\"trait\":7}")))
        records(FakeEvidence().apply { blocks = listOf(block) }).let { records -> repeat(2) { synchronize(records) } }
        val later = FakeEvidence()
        synchronize(records(later))

        assertEquals(listOf(block), later.adopted)
    }

    // Guards against a request that crashes targets anew after each restart, since the count of its losses begins anew
    // (BUDGET, review/9).
    @Test
    fun `losses by the same request add up although all daemons are restarted between them`() {
        val request = RequestSignature(RequestFingerprint("deadly"))
        listOf("a", "b").forEach { target ->
            DetectorEvidence(clock).let { process ->
                val records = records(process)
                synchronize(records)
                process.detector.recordLoss(TargetInstance(HostId(target), 1), request, clock.time)
                clock.time += 6_000
                synchronize(records)
            }
            clock.time += 10_000
        }
        val last = DetectorEvidence(clock)
        synchronize(records(last))
        assertFalse(last.isBlocked(request), "two losses may be chance")
        last.detector.recordLoss(TargetInstance(HostId("c"), 1), request, clock.time)

        assertTrue(last.isBlocked(request))
    }

    @Test
    fun `a loss is written again with fewer suspects, and removed once none is left`() {
        val evidence = FakeEvidence().apply { losses = listOf(loss("x", "y")) }
        val testSubject = records(evidence)
        repeat(2) { synchronize(testSubject) }
        evidence.losses = listOf(loss("x"))
        synchronize(testSubject)
        val later = FakeEvidence()
        synchronize(records(later))
        assertEquals(listOf(loss("x")), later.adoptedLosses)

        evidence.losses = emptyList()
        synchronize(testSubject)
        assertEquals(emptySet(), table.scanNow("poison/").getOrNull()?.keys)
    }

    @Test
    fun `a loss that is too old to lead to a block is neither adopted nor kept`() {
        records(FakeEvidence().apply { losses = listOf(loss("x")) }).let { records ->
            repeat(2) { synchronize(records) }
        }
        clock.time += PoisonRequestDetector.RETENTION_MILLISECONDS
        val later = FakeEvidence()
        records(later).let { records -> repeat(2) { synchronize(records) } }

        assertEquals(emptyList(), later.adoptedLosses)
        assertEquals(emptySet(), table.scanNow("poison/").getOrNull()?.keys)
    }

    // Guards against a table that rejects each write since one holds too many entries.
    @Test
    fun `many losses are written in several transactions`() {
        val evidence = FakeEvidence()
        evidence.losses = (1..100).map { loss("x").copy(target = TargetInstance(HostId("t$it"), 1)) }
        val testSubject = records(evidence)
        repeat(2) { synchronize(testSubject) }
        assertEquals(40, table.scanNow("poison/").getOrNull()?.size)
        repeat(2) { synchronize(testSubject) }

        assertEquals(100, table.scanNow("poison/").getOrNull()?.size)
    }

    private fun loss(vararg suspects: String) = ReportedLoss(
        TargetInstance(HostId("a"), 1),
        age = 0,
        suspects.map { RequestSignature(RequestFingerprint(it), listOf("part")) },
    )

    private class DetectorEvidence(
        private val clock: GatewayClock,
    ) : PoisonEvidence {
        val detector = PoisonRequestDetector(Random(1))

        override fun current() =
            PoisonReport(detector.openLosses(clock.steady()), blocks = detector.buildReport(clock.steady()).blocks)

        override fun adopt(report: PoisonReport) = detector.recordReport(report, clock.steady())

        fun isBlocked(request: RequestSignature): Boolean {
            detector.update(clock.steady())
            return detector.findBlock(request, clock.steady()) != null
        }
    }

    private fun records(
        evidence: PoisonEvidence,
        isWriter: Boolean = true,
    ) = PoisonRecords(table, evidence, { isWriter }, controlThread, EventLogger(DaemonId("a"), clock::steady), clock)

    /** Also waits until the response of the table has been processed. */
    private fun synchronize(records: PoisonRecords) {
        controlThread.execute(records::synchronize)
        awaitControlThread()
    }

    private fun awaitControlThread() {
        repeat(2) {
            val done = CompletableFuture<Unit>()
            controlThread.execute { done.complete(Unit) }
            done.get(10, TimeUnit.SECONDS)
        }
    }
}
