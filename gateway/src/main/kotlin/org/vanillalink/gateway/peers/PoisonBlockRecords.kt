/*
 * Keeps blocks of poison requests in the platform's table, so that they outlast all daemons.
 *
 * Daemons report blocks to each other; the table is read only at the start of a process, and written by the daemons
 * that control a failure domain when a block begins, gets new losses or ends.
 */
package org.vanillalink.gateway.peers

import arrow.core.Either
import arrow.core.flatMap
import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.GatewayClock
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.serving.balancing.ReportedBlock
import org.vanillalink.serving.balancing.RequestTrait
import org.vanillalink.serving.targets.TargetInstance
import org.vanillalink.store.ConditionalWrite
import org.vanillalink.store.Row
import org.vanillalink.store.RowKey
import org.vanillalink.store.StoreFailure
import org.vanillalink.store.TableStore
import org.vanillalink.store.TransactionResult
import org.vanillalink.transport.Json
import org.vanillalink.transport.MalformedJson
import org.vanillalink.transport.read
import java.time.Duration

/** The blocks of the running daemon. Thread-safe. */
internal interface PoisonBlocks {
    fun current(): List<ReportedBlock>

    fun adopt(blocks: List<ReportedBlock>)
}

/** The content of a row; [lastLossAt] is in Unix milliseconds. */
internal data class PoisonBlockRecord(
    val trait: RequestTrait,
    val lastLossAt: Long,
    val targets: Set<TargetInstance>,
)

/** Confined to the control thread. [isWriter] is whether this daemon writes the blocks of its failure domain. */
internal class PoisonBlockRecords(
    private val table: TableStore,
    private val blocks: PoisonBlocks,
    private val isWriter: () -> Boolean,
    private val controlThread: ControlThread,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
) {
    private class Stored(
        val version: Long,
        val lastLossAt: Long,
    )

    private var isCallInProgress = false
    private var hasLoaded = false

    /** Whether the rows to be read come from an older copy, whose blocks may have ended. */
    private var isRestored = false
    private val stored = HashMap<RowKey, Stored>()

    /** Blocks that end are removed from the table only if this process had them: others may not have arrived yet. */
    private var heldKeys: Set<RowKey> = emptySet()

    fun start() {
        controlThread.execute(::synchronize)
        controlThread.scheduleRepeatedly(SYNCHRONIZATION_INTERVAL, ::synchronize)
    }

    /**
     * Writes the blocks again after the store has come back from an older copy, and removes those that had ended; what
     * the copy holds is older than what this process knows.
     */
    fun onStoreRestored() {
        if (!hasLoaded) return
        hasLoaded = false
        isRestored = true
    }

    /** Reads the table once, and then writes what has changed. */
    fun synchronize() {
        if (isCallInProgress) return
        if (!hasLoaded) load() else writeChanges()
    }

    private fun load() {
        isCallInProgress = true
        table.scan(PREFIX).thenAccept { result ->
            controlThread.execute {
                isCallInProgress = false
                result.fold(::onFailure, ::onLoaded)
            }
        }
    }

    private fun onLoaded(rows: Map<RowKey, Row>) {
        hasLoaded = true
        stored.clear()
        val records = rows.mapNotNull { (key, row) -> readRecord(row)?.let { Triple(key, row.version, it) } }
        records.forEach { (key, version, record) -> stored[key] = Stored(version, record.lastLossAt) }
        if (isRestored) {
            isRestored = false
            heldKeys = heldKeys + stored.keys
            return
        }
        val now = clock.wall()
        blocks.adopt(
            records.map { (_, _, record) ->
                ReportedBlock(record.trait, maxOf(0, now - record.lastLossAt), record.targets)
            },
        )
    }

    private fun readRecord(row: Row): PoisonBlockRecord? = Json
        .read<JsonNode>(row.value.toByteArray())
        .flatMap { node ->
            Either
                .catchOrThrow<IllegalArgumentException, PoisonBlockRecord> { parseRecord(node) }
                .mapLeft { MalformedJson(it.message.orEmpty()) }
        }.onLeft { eventLogger.record("poison-record-unreadable", "reason" to it.detail) }
        .getOrNull()

    private fun parseRecord(node: JsonNode) = PoisonBlockRecord(
        PoisonReportParser.parseTrait(node.required("trait")),
        node.number("lastLossAt"),
        node.required("targets").map(PoisonReportParser::parseInstance).toSet(),
    )

    private fun writeChanges() {
        val now = clock.wall()
        val current = blocks.current().filter { it.trait.value.length <= MAX_KEY_LENGTH }.associateBy(::key)
        val ended = (heldKeys - current.keys).filter { it in stored }
        heldKeys = current.keys
        if (!isWriter()) return
        val outdated = current.filter { (key, block) -> isOutdated(stored[key], now - block.age) }
        val writes =
            outdated.map { (key, block) ->
                write(key, PoisonBlockRecord(block.trait, now - block.age, block.targets))
            } +
                ended.map { ConditionalWrite(it, stored.getValue(it).version, value = null) }
        if (writes.isEmpty()) return
        isCallInProgress = true
        table.transact(writes).thenAccept { result ->
            controlThread.execute {
                isCallInProgress = false
                result.fold(::onFailure) { onWritten(it, outdated.mapValues { (_, block) -> now - block.age }) }
            }
        }
    }

    private fun write(
        key: RowKey,
        record: PoisonBlockRecord,
    ) = ConditionalWrite(
        key,
        stored[key]?.version ?: ConditionalWrite.ABSENT,
        Json.write(record).decodeToString(),
    )

    private fun onWritten(
        result: TransactionResult,
        lastLossAt: Map<RowKey, Long>,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                result.versions.forEach { (key, version) ->
                    val time = lastLossAt[key]
                    if (time == null) stored.remove(key) else stored[key] = Stored(version, time)
                }
            }

            is TransactionResult.Conflict -> {
                hasLoaded = false
            }
        }
    }

    /** Nothing is lost: the next synchronization tries again. */
    private fun onFailure(failure: StoreFailure) = eventLogger.record("poison-records-failed", "failure" to failure)

    private fun isOutdated(
        stored: Stored?,
        lastLossAt: Long,
    ): Boolean = stored == null || lastLossAt - stored.lastLossAt > MIN_CHANGE_MILLISECONDS

    private fun key(block: ReportedBlock) = RowKey("$PREFIX${block.trait.kind}:${block.trait.value}")

    private companion object {
        const val PREFIX = "poison/"
        val SYNCHRONIZATION_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Far below the delay of a trial, so that a restarted daemon doesn't try much too early. */
        const val MIN_CHANGE_MILLISECONDS = 10_000L

        /** The table's keys are at most 200 bytes long. */
        const val MAX_KEY_LENGTH = 100
    }
}
