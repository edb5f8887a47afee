/*
 * Follows one part of the registry: a full read first, then changes by long-polling; a full read again after an outage
 * or when the store has dropped the change history.
 */
package org.vanillalink.gateway.control

import arrow.core.Either
import arrow.core.left
import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.Registry
import org.vanillalink.gateway.ports.RegistryFailure
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.gateway.ports.RegistryRecords
import org.vanillalink.gateway.ports.RelayedAge
import org.vanillalink.serving.catalog.ClockReading
import org.vanillalink.store.StoreFailure
import java.time.Duration
import java.util.concurrent.CompletableFuture

/** Calls [onRecords] and [onResponse] on the control thread. */
internal class RegistryFollower(
    private val part: RegistryPart,
    private val registry: Registry,
    private val controlThread: ControlThread,
    private val clock: GatewayClock,
    private val eventLogger: EventLogger,
    /** Whether the store may have had an outage since the last response. */
    private var mayHaveMissedChanges: Boolean,
    private val onRecords: (records: List<RegistryRecord>, readKind: RegistryReadKind) -> Unit,
    private val onResponse: (part: RegistryPart, confirmedAt: ClockReading, relayed: RelayedAge?) -> Unit,
    /** Called before the first records of a new era are applied. */
    private val onRestored: (StoreRestoration) -> Unit = {},
    private val pollInterval: () -> Duration = { RegistryPollInterval.MIN_INTERVAL },
    private val maxChangeWait: () -> Duration = { RegistryPollInterval.MAX_CHANGE_WAIT },
) {
    private var version: Long? = null
    private var era = StoreEra()
    private var failures = 0

    /** When the last store outage was noticed, or null where there was none. */
    var storeLostAt: Long? = null
        private set
    private var failingSince: Long? = null

    /** Whether a full read has ever succeeded. Safe to read from any thread. */
    @Volatile
    var hasLoaded = false
        private set

    fun start() = controlThread.execute(::poll)

    /** Starts a full read beside the polling of changes, for decisions that need the current state. */
    fun refresh() {
        val requestedAt = clock.reading()
        registry.readAll(part).thenAccept { result ->
            controlThread.execute {
                result.onRight { fullRead ->
                    if (!followEra(fullRead, requestedAt)) return@onRight
                    applyFullRead(fullRead, fullReadKind())
                    onResponse(part, requestedAt, fullRead.relayed)
                }
            }
        }
    }

    private fun poll() {
        val requestedAt = clock.reading()
        val requestedEra = era.current
        val knownVersion = version
        if (knownVersion == null) {
            registry.readAll(part).applyOnControlThread { onFullRead(requestedAt, it) }
        } else {
            registry.readChanges(part, knownVersion, requestedEra, maxChangeWait()).applyOnControlThread {
                onChanges(requestedAt, requestedEra, it)
            }
        }
    }

    /** Whatever goes wrong while a response is decoded or applied, the registry is read again. */
    private fun CompletableFuture<Either<RegistryFailure, RegistryRecords>>.applyOnControlThread(
        apply: (Either<RegistryFailure, RegistryRecords>) -> Unit,
    ) {
        handle { result, failure -> result ?: unusable("decode", failure) }.thenAccept { result ->
            controlThread.execute {
                try {
                    apply(result)
                } catch (
                    @Suppress("TooGenericExceptionCaught") failure: RuntimeException,
                ) {
                    unusable("apply", failure).onLeft(::onFailure)
                }
            }
        }
    }

    private fun unusable(
        step: String,
        failure: Throwable,
    ): Either<RegistryFailure, RegistryRecords> {
        eventLogger.record("registry-response-unusable", "part" to part, "step" to step, "failure" to failure)
        return RegistryFailure.Unavailable(StoreFailure.AnswerLost).left()
    }

    private fun onFullRead(
        requestedAt: ClockReading,
        result: Either<RegistryFailure, RegistryRecords>,
    ) = result.fold(::onFailure) { fullRead ->
        if (!followEra(fullRead, requestedAt)) return onFailure(RESPONSE_OF_EARLIER_ERA)
        applyFullRead(fullRead, fullReadKind())
        onSuccess(requestedAt, fullRead.relayed)
        schedulePoll(pollInterval())
    }

    private fun fullReadKind() = if (mayHaveMissedChanges) RegistryReadKind.FULL_AFTER_OUTAGE else RegistryReadKind.FULL

    /** Two full reads may be in progress at once; the result with the older version is dropped. */
    private fun applyFullRead(
        fullRead: RegistryRecords,
        readKind: RegistryReadKind,
    ) {
        if (fullRead.version < (version ?: fullRead.version)) return
        version = fullRead.version
        onRecords(fullRead.records, readKind)
        hasLoaded = true
    }

    private fun onChanges(
        requestedAt: ClockReading,
        requestedEra: Long?,
        result: Either<RegistryFailure, RegistryRecords>,
    ) = result.fold(::onFailure) { changes ->
        val confirmedAt = requestedAt.minus(changes.relayed?.confirmation ?: 0)
        if (!followEra(changes, confirmedAt)) return onFailure(RESPONSE_OF_EARLIER_ERA)
        // Changes since a version of an earlier era are not all that changed.
        if (requestedEra != null && era.current != requestedEra) return poll()
        val isOutdated = changes.version < (version ?: 0)
        version = maxOf(version ?: 0, changes.version)
        if (changes.records.isNotEmpty() && !isOutdated) onRecords(changes.records, RegistryReadKind.CHANGES)
        onSuccess(confirmedAt, changes.relayed)
        schedulePoll(pollInterval())
    }

    /** Notes the era of [records]; returns whether they may be used. */
    private fun followEra(
        records: RegistryRecords,
        requestedAt: ClockReading,
    ): Boolean {
        val previousEra = era.current
        val observation = era.observe(records.era, requestedAt.steadyMilliseconds, clock.steady())
        era = observation.era
        if (observation.isRestored) {
            val restoration = StoreRestoration(part, previousEra, era.current, version, records.version)
            version = null
            mayHaveMissedChanges = true
            onRestored(restoration)
        }
        return observation.isUsable
    }

    private fun onSuccess(
        confirmedAt: ClockReading,
        relayed: RelayedAge?,
    ) {
        failingSince?.let { eventLogger.record("registry-regained", "part" to part, "afterMs" to clock.steady() - it) }
        failingSince = null
        mayHaveMissedChanges = false
        failures = 0
        onResponse(part, confirmedAt, relayed)
    }

    private fun onFailure(failure: RegistryFailure) {
        if (failingSince == null) {
            failingSince = clock.steady()
            eventLogger.record("registry-lost", "part" to part, "failure" to failure, "version" to version)
        }
        // Entries may have expired in the meantime although their targets run, so a full read follows.
        version = null
        failures += 1
        val isHistoryLost = failure is RegistryFailure.HistoryLost
        if (!isHistoryLost) {
            if (!mayHaveMissedChanges) storeLostAt = clock.steady()
            mayHaveMissedChanges = true
        }
        val backoffFactor = if (isHistoryLost) 1 else minOf(failures, MAX_BACKOFF_FACTOR)
        schedulePoll(RegistryPollInterval.MIN_INTERVAL.multipliedBy(backoffFactor.toLong()))
    }

    private fun schedulePoll(pollInterval: Duration) = controlThread.scheduleOnce(pollInterval, ::poll)

    private companion object {
        val RESPONSE_OF_EARLIER_ERA = RegistryFailure.Unavailable(StoreFailure.AnswerLost)

        const val MAX_BACKOFF_FACTOR = 4
    }
}
