/*
 * Keeps what is known of poison requests in the platform's table, so that it outlasts all daemons: blocks, and the
 * losses of targets that may still lead to one.
 *
 * Daemons report both to each other; the table is read only at the start of a process, and written by the daemons that
 * control a failure domain when something begins, changes or ends.
 */
package org.vanillalink.gateway.peers

import arrow.core.Either
import arrow.core.flatMap
import com.fasterxml.jackson.databind.JsonNode
import org.vanillalink.gateway.control.ControlThread
import org.vanillalink.gateway.control.GatewayClock
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.serving.balancing.PoisonReport
import org.vanillalink.serving.balancing.PoisonRequestDetector
import org.vanillalink.serving.balancing.ReportedBlock
import org.vanillalink.serving.balancing.ReportedLoss
import org.vanillalink.serving.balancing.RequestSignature
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

/** The blocks of the running daemon, and its losses that are to be kept. Thread-safe. */
internal interface PoisonEvidence {
    fun current(): PoisonReport

    fun adopt(report: PoisonReport)
}

/** The content of a row; times are in Unix milliseconds. */
internal sealed interface PoisonRecord {
    /** Requests with [trait] are refused; the last of [targets] was lost at [lastLossAt]. */
    data class Block(
        val trait: RequestTrait,
        val lastLossAt: Long,
        val targets: Set<TargetInstance>,
    ) : PoisonRecord

    /** [target] was lost at [lostAt] with [suspects]. */
    data class Loss(
        val target: TargetInstance,
        val lostAt: Long,
        val suspects: List<RequestSignature>,
    ) : PoisonRecord
}

/** Confined to the control thread. [isWriter] is whether this daemon writes the records of its failure domain. */
internal class PoisonRecords(
    private val table: TableStore,
    private val evidence: PoisonEvidence,
    private val isWriter: () -> Boolean,
    private val controlThread: ControlThread,
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
) {
    private class Stored(
        val version: Long,
        val record: PoisonRecord,
    )

    private var isCallInProgress = false
    private var hasLoaded = false

    /** Whether the rows to be read come from an older copy, whose records may have ended. */
    private var isRestored = false
    private val stored = HashMap<RowKey, Stored>()

    /** Records that end are removed from the table only if this process had them: others may not have arrived yet. */
    private var heldKeys: Set<RowKey> = emptySet()

    /** Records that were too old to be adopted when they were read. */
    private var expiredKeys: Set<RowKey> = emptySet()

    fun start() {
        controlThread.execute(::synchronize)
        controlThread.scheduleRepeatedly(SYNCHRONIZATION_INTERVAL, ::synchronize)
    }

    /**
     * Writes the records again after the store has come back from an older copy, and removes those that had ended; what
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
        rows.forEach { (key, row) -> readRecord(row)?.let { stored[key] = Stored(row.version, it) } }
        if (isRestored) {
            isRestored = false
            heldKeys = heldKeys + stored.keys
            return
        }
        val now = clock.wall()
        val (current, expired) = stored.entries.partition { (_, row) -> isCurrent(row.record, now) }
        expiredKeys = expired.mapTo(HashSet()) { it.key }
        val report = toReport(current.map { it.value.record }, now)
        if (report != PoisonReport()) {
            eventLogger.record("poison-records-read", "blocks" to report.blocks.size, "losses" to report.losses.size)
        }
        evidence.adopt(report)
    }

    private fun isCurrent(
        record: PoisonRecord,
        now: Long,
    ): Boolean = record !is PoisonRecord.Loss || now - record.lostAt < PoisonRequestDetector.RETENTION_MILLISECONDS

    private fun toReport(
        records: List<PoisonRecord>,
        now: Long,
    ) = PoisonReport(
        losses =
            records.filterIsInstance<PoisonRecord.Loss>().map {
                ReportedLoss(it.target, maxOf(0, now - it.lostAt), it.suspects)
            },
        blocks =
            records.filterIsInstance<PoisonRecord.Block>().map {
                ReportedBlock(it.trait, maxOf(0, now - it.lastLossAt), it.targets)
            },
    )

    private fun toRecords(
        report: PoisonReport,
        now: Long,
    ): Map<RowKey, PoisonRecord> {
        val losses = report.losses.map { PoisonRecord.Loss(it.target, now - it.age, it.suspects) }
        val blocks = report.blocks.map { PoisonRecord.Block(it.trait, now - it.age, it.targets) }
        return (losses + blocks).associateBy(::key).filterKeys { it.value.toByteArray().size <= MAX_KEY_BYTES }
    }

    private fun readRecord(row: Row): PoisonRecord? = Json
        .read<JsonNode>(row.value.toByteArray())
        .flatMap { node ->
            Either
                .catchOrThrow<IllegalArgumentException, PoisonRecord> { parseRecord(node) }
                .mapLeft { MalformedJson(it.message.orEmpty()) }
        }.onLeft { eventLogger.record("poison-record-unreadable", "reason" to it.detail) }
        .getOrNull()

    private fun parseRecord(node: JsonNode): PoisonRecord = if (node.has("trait")) {
        PoisonRecord.Block(
            PoisonReportParser.parseTrait(node.required("trait")),
            node.number("lastLossAt"),
            node.required("targets").map(PoisonReportParser::parseInstance).toSet(),
        )
    } else {
        PoisonRecord.Loss(
            PoisonReportParser.parseInstance(node.required("target")),
            node.number("lostAt"),
            node.required("suspects").map(PoisonReportParser::parseSignature),
        )
    }

    private fun writeChanges() {
        val current = toRecords(evidence.current(), clock.wall())
        val ended = (heldKeys - current.keys + expiredKeys).filter { it in stored }.take(MAX_WRITES)
        heldKeys = current.keys
        if (!isWriter()) return
        expiredKeys = emptySet()
        val outdated =
            current.entries
                .filter { (key, record) ->
                    isOutdated(stored[key]?.record, record)
                }.take(MAX_WRITES)
        val writes =
            outdated.map { (key, record) -> write(key, record) } +
                ended.map { ConditionalWrite(it, stored.getValue(it).version, value = null) }
        if (writes.isEmpty()) return
        isCallInProgress = true
        table.transact(writes).thenAccept { result ->
            controlThread.execute {
                isCallInProgress = false
                result.fold(::onFailure) { onWritten(it, outdated.associate { (key, record) -> key to record }) }
            }
        }
    }

    private fun write(
        key: RowKey,
        record: PoisonRecord,
    ) = ConditionalWrite(
        key,
        stored[key]?.version ?: ConditionalWrite.ABSENT,
        Json.write(record).decodeToString(),
    )

    private fun onWritten(
        result: TransactionResult,
        written: Map<RowKey, PoisonRecord>,
    ) {
        when (result) {
            is TransactionResult.Committed -> {
                result.versions.forEach { (key, version) ->
                    val record = written[key]
                    if (record == null) stored.remove(key) else stored[key] = Stored(version, record)
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
        stored: PoisonRecord?,
        current: PoisonRecord,
    ): Boolean = when (current) {
        is PoisonRecord.Block -> {
            stored !is PoisonRecord.Block || current.lastLossAt - stored.lastLossAt > MIN_CHANGE_MILLISECONDS
        }

        is PoisonRecord.Loss -> {
            stored !is PoisonRecord.Loss || stored.suspects.toSet() != current.suspects.toSet()
        }
    }

    private fun key(record: PoisonRecord) = when (record) {
        is PoisonRecord.Block -> RowKey("$PREFIX${record.trait.kind}:${record.trait.value}")
        is PoisonRecord.Loss -> RowKey("${PREFIX}LOSS:${record.target.id}:${record.target.bornAt ?: ""}")
    }

    private companion object {
        const val PREFIX = "poison/"
        val SYNCHRONIZATION_INTERVAL: Duration = Duration.ofSeconds(1)

        /** Far below the delay of a trial, so that a restarted daemon doesn't try much too early. */
        const val MIN_CHANGE_MILLISECONDS = 10_000L

        /** The limit of the table. */
        const val MAX_KEY_BYTES = 200

        /** Of records to write, and of those to remove: a call of the table holds at most 100 entries. */
        const val MAX_WRITES = 40
    }
}
