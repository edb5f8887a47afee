package org.vanillalink.gateway.peers

import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.GatewayClock
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.model.DaemonId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.ReportedBlock
import org.vanillalink.serving.balancing.RequestTrait
import org.vanillalink.serving.balancing.TraitKind
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.RowKey
import org.vanillalink.testing.InMemoryTableStore
import org.vanillalink.testing.StoreBehaviour
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

internal class PoisonBlockRecordsTest {
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

    private class FakeBlocks : PoisonBlocks {
        @Volatile
        var blocks: List<ReportedBlock> = emptyList()

        @Volatile
        var adopted: List<ReportedBlock> = emptyList()

        override fun current() = blocks

        override fun adopt(blocks: List<ReportedBlock>) {
            adopted = blocks
        }
    }

    @AfterTest
    fun stop() = controlThread.close()

    // Guards against crashing targets again with the same requests after all daemons were killed at once.
    @Test
    fun `a daemon that starts after all others ended adopts the block that they had`() {
        val earlier = FakeBlocks()
        val earlierRecords = records(earlier)
        synchronize(earlierRecords)
        earlier.blocks = listOf(block)
        synchronize(earlierRecords)
        clock.time += 10_000
        val later = FakeBlocks()
        synchronize(records(later))

        assertEquals(listOf(block.copy(age = 10_500)), later.adopted)
    }

    // Guards against requests that a daemon sends on in the second after its start.
    @Test
    fun `blocks are read as soon as a daemon starts`() {
        records(FakeBlocks().apply { blocks = listOf(block) }).let { records -> repeat(2) { synchronize(records) } }
        val later = FakeBlocks()
        records(later).start()
        awaitControlThread()

        assertEquals(listOf(block), later.adopted)
    }

    @Test
    fun `a block that ended is not adopted`() {
        val earlier = FakeBlocks()
        val earlierRecords = records(earlier)
        synchronize(earlierRecords)
        earlier.blocks = listOf(block)
        synchronize(earlierRecords)
        earlier.blocks = emptyList()
        synchronize(earlierRecords)
        val later = FakeBlocks()
        synchronize(records(later))

        assertEquals(emptyList(), later.adopted)
    }

    // Guards against blocks that have ended and come back when the store comes back from an older copy.
    @Test
    fun `after a restoration a block that has ended is neither adopted nor kept, and one in force is written again`() {
        val ended = block.copy(trait = RequestTrait(TraitKind.PROMPT_PART, "ended"))
        val blocks = FakeBlocks().apply { blocks = listOf(ended) }
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
        val earlier = FakeBlocks().apply { blocks = listOf(block) }
        records(earlier).let { records -> repeat(2) { synchronize(records) } }
        val starting = records(FakeBlocks())
        repeat(3) { synchronize(starting) }

        assertEquals(1, table.scanNow("poison/").getOrNull()?.size)
    }

    @Test
    fun `only daemons with control write, and a block is written once`() {
        val blocks = FakeBlocks().apply { blocks = listOf(block) }
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
        val blocks = FakeBlocks().apply { blocks = listOf(block) }
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
        records(FakeBlocks().apply { blocks = listOf(block) }).let { records -> repeat(2) { synchronize(records) } }
        val later = FakeBlocks()
        synchronize(records(later))

        assertEquals(listOf(block), later.adopted)
    }

    private fun records(
        blocks: PoisonBlocks,
        isWriter: Boolean = true,
    ) = PoisonBlockRecords(table, blocks, { isWriter }, controlThread, EventLogger(DaemonId("a"), clock::steady), clock)

    /** Also waits until the response of the table has been processed. */
    private fun synchronize(records: PoisonBlockRecords) {
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
