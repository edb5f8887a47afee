/*
 * Follows one part of the registry: reads all of it once, then change by change; reads all of it again after an outage
 * or when the history has been dropped.
 */
package org.vanillalink.gateway.control

import arrow.core.Either
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.serving.catalog.ClockReading
import java.time.Duration

/** Tells [changed] on the control thread. */
internal class RegistryFollower(
    private val part: RegistryPart,
    private val registry: Registry,
    private val thread: ControlThread,
    private val clock: GatewayClock,
    private val eventLogger: EventLogger,
    /** Whether the store may have been away until now. */
    private var wasAway: Boolean,
    private val changed: (records: List<RegistryRecord>, read: RegistryRead) -> Unit,
    private val answered: (part: RegistryPart, sentAt: ClockReading) -> Unit,
    private val pause: () -> Duration = { RegistryPace.SHORTEST },
) {
    private var version: Long? = null
    private var failures = 0

    /** When the store was last noticed to be away, or null where it never was. */
    var lostAt: Long? = null
        private set
    private var failedSince: Long? = null

    /** Whether this part has ever been read whole. Read on any thread. */
    @Volatile
    var hasRead = false
        private set

    fun start() = thread.execute(::next)

    /** Reads all anew beside following changes, for a decision that needs to know how things stand now. */
    fun refresh() {
        val sentAt = clock.reading()
        registry.readAll(part).thenAccept { result ->
            thread.execute {
                result.onRight { all ->
                    take(all, wholeRead())
                    answered(part, sentAt)
                }
            }
        }
    }

    private fun next() {
        val sentAt = clock.reading()
        val known = version
        if (known == null) {
            registry.readAll(part).thenAccept { result -> thread.execute { readAll(sentAt, result) } }
        } else {
            registry.readChanges(part, known, WAIT).thenAccept { result -> thread.execute { readChanges(sentAt, result) } }
        }
    }

    private fun readAll(
        sentAt: ClockReading,
        result: Either<RegistryFailure, RegistryRecords>,
    ) = result.fold(::failed) { all ->
        take(all, wholeRead())
        succeeded(sentAt)
        again(pause())
    }

    private fun wholeRead() = if (wasAway) RegistryRead.WHOLE_AFTER_OUTAGE else RegistryRead.WHOLE

    /** Two whole reads may be under way at once; the older one tells nothing more. */
    private fun take(
        all: RegistryRecords,
        read: RegistryRead,
    ) {
        if (all.version < (version ?: all.version)) return
        version = all.version
        changed(all.records, read)
        hasRead = true
    }

    private fun readChanges(
        sentAt: ClockReading,
        result: Either<RegistryFailure, RegistryRecords>,
    ) = result.fold(::failed) { some ->
        succeeded(sentAt)
        val isOld = some.version < (version ?: 0)
        version = maxOf(version ?: 0, some.version)
        if (some.records.isNotEmpty() && !isOld) changed(some.records, RegistryRead.CHANGES)
        again(pause())
    }

    private fun succeeded(sentAt: ClockReading) {
        failedSince?.let { eventLogger.record("registry-regained", "part" to part, "afterMs" to clock.steady() - it) }
        failedSince = null
        wasAway = false
        failures = 0
        answered(part, sentAt)
    }

    private fun failed(failure: RegistryFailure) {
        if (failedSince == null) {
            failedSince = clock.steady()
            eventLogger.record("registry-lost", "part" to part, "failure" to failure, "version" to version)
        }
        // Entries may have lapsed meanwhile without telling anything of their targets, so all is read anew.
        version = null
        failures += 1
        val isHistory = failure is RegistryFailure.HistoryLost
        if (!isHistory) {
            if (!wasAway) lostAt = clock.steady()
            wasAway = true
        }
        val backoff = if (isHistory) 1 else minOf(failures, BACKOFF_AT_MOST)
        again(RegistryPace.SHORTEST.multipliedBy(backoff.toLong()))
    }

    private fun again(pause: Duration) = thread.after(pause, ::next)

    private companion object {
        /** Bounds the age of what is known when nothing changes. */
        val WAIT: Duration = Duration.ofMillis(1_000)
        const val BACKOFF_AT_MOST = 4
    }
}
