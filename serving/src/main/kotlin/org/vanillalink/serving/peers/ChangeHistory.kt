/*
 * The changes of one table that a daemon has read from the store itself, kept for a while to answer its peers.
 *
 * Only the latest change of each row is kept, as peers apply changes by key. A peer may rely on an answer as of the
 * time at which it asked, less the age that the answer names. That is never later than what the store has confirmed,
 * whichever process stands still in between: the peer took its reading before it asked.
 */
package org.vanillalink.serving.peers

import org.vanillalink.serving.catalog.ClockReading
import org.vanillalink.serving.catalog.CredentialFreshness

/** A row as of its latest change. */
data class ChangedRow<T>(
    val key: String,
    val version: Long,
    val bytes: Int,
    val row: T,
)

/** A version in an era of the store; versions of different eras can't be compared. */
data class StorePosition(
    val version: Long,
    val era: Long?,
)

/** What a peer asks for: the changes after [position]. */
data class ChangeRequest(
    val position: StorePosition,
    val arrivedAt: ClockReading,
)

/** What is answered to a [ChangeRequest]. */
sealed interface HistoryAnswer<out T> {
    /** All changes up to [position]. Ages are in milliseconds. */
    data class Changes<T>(
        val rows: List<ChangedRow<T>>,
        val position: StorePosition,
        /** How much earlier than the request's arrival the store confirmed this state. */
        val confirmationAge: Long,
        /** How long ago the store answered. */
        val answerAge: Long,
    ) : HistoryAnswer<T>

    /** Nothing to say yet: the next answer of the store is due within [milliseconds]. */
    data class NotYet(
        val milliseconds: Long,
    ) : HistoryAnswer<Nothing>

    /** The peer must ask the store itself. */
    data class Unknown(
        val reason: UnknownReason,
    ) : HistoryAnswer<Nothing>
}

/** Why a history can't answer. */
enum class UnknownReason {
    /** The store's last answer is too old, or it gave none. */
    OUTDATED,

    /** The changes asked for are of another era, or older than those kept. */
    HISTORY_TOO_SHORT,
}

/** Changes after [after], up to [position]. */
data class ReadChanges<T>(
    val after: StorePosition,
    val rows: List<ChangedRow<T>>,
    val position: StorePosition,
)

/** Immutable. Nothing is passed on when the store has not answered for more than [maxAge] milliseconds. */
data class ChangeHistory<T>(
    val maxAge: Long,
    private val limits: HistoryLimits = HistoryLimits(),
    private val position: StorePosition? = null,
    /** All changes after this version are known. */
    private val from: Long = 0,
    /** In the order of their versions. */
    private val rows: Map<String, ChangedRow<T>> = emptyMap(),
    private val confirmation: CredentialFreshness = CredentialFreshness(),
    private val answeredAt: Long = 0,
) {
    /** Returns the history with [read], which the store answered at [now] to a request sent at [requestedAt]. */
    fun withChanges(
        read: ReadChanges<T>,
        requestedAt: ClockReading,
        now: Long,
    ): ChangeHistory<T> {
        // Changes since a version of another era are not all that changed.
        if (read.after.era != read.position.era) return withoutAnswer()
        val continues = position != null && position.era == read.position.era && read.after.version <= position.version
        val previous =
            if (continues) this else withoutAnswer().copy(position = read.after, from = read.after.version)
        val merged = LinkedHashMap(previous.rows)
        read.rows.forEach { change ->
            if ((merged[change.key]?.version ?: Long.MIN_VALUE) < change.version) {
                merged.remove(change.key)
                merged[change.key] = change
            }
        }
        val version = maxOf(previous.position?.version ?: 0, read.position.version)
        return previous
            .copy(
                position = read.position.copy(version = version),
                rows = merged,
                confirmation = previous.confirmation.confirmed(requestedAt),
                answeredAt = maxOf(previous.answeredAt, now),
            ).withinLimits()
    }

    /** Returns the history after the store has failed to answer: nothing is passed on until it does. */
    fun withoutAnswer(): ChangeHistory<T> = ChangeHistory(maxAge, limits)

    /** Answers [request] at [now]; at the end of its wait ([isLast]) also without news. */
    fun answer(
        request: ChangeRequest,
        now: ClockReading,
        isLast: Boolean,
    ): HistoryAnswer<T> {
        val known = position ?: return HistoryAnswer.Unknown(UnknownReason.OUTDATED)
        val ageAtArrival = confirmation.age(request.arrivedAt)
        val answerAge = maxOf(0, now.steadyMilliseconds - answeredAt)
        val wasSuspended = ageAtArrival == null || confirmation.age(now) == null
        if (ageAtArrival == null || wasSuspended || answerAge > maxAge) {
            return HistoryAnswer.Unknown(UnknownReason.OUTDATED)
        }
        if (request.position.era != known.era || request.position.version < from) {
            return HistoryAnswer.Unknown(UnknownReason.HISTORY_TOO_SHORT)
        }
        val changes = rows.values.filter { it.version > request.position.version }
        val isConfirmedSince = answeredAt > request.arrivedAt.steadyMilliseconds
        if (changes.isEmpty() && !isConfirmedSince && !isLast) return HistoryAnswer.NotYet(maxAge - answerAge + 1)
        return HistoryAnswer.Changes(
            changes,
            known,
            maxOf(0, ageAtArrival),
            answerAge,
        )
    }

    private fun withinLimits(): ChangeHistory<T> {
        var bytes = rows.values.sumOf { it.bytes.toLong() }
        var count = rows.size
        val dropped =
            rows.values.takeWhile { row ->
                val isBeyond = count > limits.rows || bytes > limits.bytes
                count -= 1
                bytes -= row.bytes
                isBeyond
            }
        if (dropped.isEmpty()) return this
        return copy(from = maxOf(from, dropped.maxOf { it.version }), rows = rows - dropped.map { it.key }.toSet())
    }
}

/** What a history keeps at most. */
data class HistoryLimits(
    val rows: Int = 2_000,
    val bytes: Long = 2_000_000,
)
