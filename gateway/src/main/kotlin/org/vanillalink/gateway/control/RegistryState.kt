/*
 * The state that this daemon has read from the registry: the configuration, the targets, and the evacuated failure
 * domains. Each change is logged.
 *
 * When the store has come back from an older copy, what this daemon knows is newer than what full reads show, until
 * operators and targets have written their records again. So for a while full reads only add to what is known, while
 * changes, which were written after the return, apply as usual.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.RegistryPart
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.TargetAvailability
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.catalog.ServingConfiguration
import org.vanillalink.serving.targets.TargetDirectory
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance

/** How a set of records was read. */
internal enum class RegistryReadKind {
    /** Changes since the last read. */
    CHANGES,

    /** A full read; missing entries were removed, unless an outage has just ended. */
    FULL,

    /** A full read after an outage; missing entries may have expired and may be written again. */
    FULL_AFTER_OUTAGE,
}

/** Confined to the control thread. Entries that expired in an outage are kept for [relistMilliseconds]. */
internal class RegistryState(
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
    private val relistMilliseconds: Long,
) {
    /** Also read on traffic threads. */
    @Volatile
    var catalog: Catalog? = null
        private set
    var directory = TargetDirectory()
        private set
    var evacuated: Set<FailureDomainId> = emptySet()
        private set

    private val targetAvailability = TargetAvailability()

    /** Until when entries missing from a full read are kept, since their targets may write them again. */
    private var missingEntriesKeptUntil = Long.MIN_VALUE

    /** Until when full reads of each part may show older records than those known. */
    private var olderRecordsUntil: Map<RegistryPart, Long> = emptyMap()

    /** Targets whose entries had been removed before the store came back; older records may list them. */
    private var removedBeforeRestoration: Set<TargetInstance> = emptySet()
    private var removedEntriesListedUntil = Long.MIN_VALUE

    /** Keeps what is known although the store has come back from an older copy. */
    fun onStoreRestored() {
        val now = clock.steady()
        olderRecordsUntil =
            mapOf(
                RegistryPart.TARGETS to now + relistMilliseconds,
                RegistryPart.OPERATORS to now + LostConfiguration.REWRITE_TIME.toMillis(),
            )
        removedBeforeRestoration =
            directory.removedEntries.values
                .map { it.instance }
                .toSet()
        removedEntriesListedUntil = now + REMOVED_ENTRIES_LISTED_MILLISECONDS
        // A target doesn't revoke that it leaves, but an older entry doesn't say it.
        directory.entries.values
            .filter { it.isLeaving }
            .forEach { targetAvailability.recordLeaving(it.instance, now) }
    }

    /** Applies [records] of [part]. */
    fun apply(
        part: RegistryPart,
        records: List<RegistryRecord>,
        readKind: RegistryReadKind,
    ) {
        val previous = evacuated
        val mayBeOlder = clock.steady() < (olderRecordsUntil[part] ?: Long.MIN_VALUE)
        when {
            readKind == RegistryReadKind.CHANGES -> {
                val written = records.filterIsInstance<RegistryRecord.Listed>().map { it.entry.instance }
                removedBeforeRestoration = removedBeforeRestoration - written.toSet()
                records.forEach(::apply)
            }

            mayBeOlder -> {
                addUnknown(records)
            }

            else -> {
                val current = records.filterNot { it is RegistryRecord.Listed && isRemoved(it.entry) }
                replaceAll(part, current, readKind)
                current.forEach(::apply)
            }
        }
        if (evacuated != previous) eventLogger.record("evacuation", "failureDomains" to evacuated.joinToString(","))
    }

    /** Removes entries that have been missing for too long at [now]. */
    fun removeExpired(now: Long) {
        targetAvailability.removeExpired(now)
        val kept = directory.withoutExpired(now)
        (directory.entries.keys - kept.entries.keys).forEach { eventLogger.record("target-expired", "target" to it) }
        directory = kept
    }

    /** Records that [instance] announced its leaving, which overrides its entry; [source] is the daemon that saw it. */
    fun recordLeaving(
        instance: TargetInstance,
        source: String,
    ) {
        if (!targetAvailability.recordLeaving(instance, clock.steady())) return
        eventLogger.record("target-leaves", "target" to instance.id, "bornAt" to instance.bornAt, "heardBy" to source)
        directory.entries[instance.id]?.let { directory = directory.withEntry(withLeavingNotice(it)) }
    }

    private fun withLeavingNotice(entry: TargetEntry): TargetEntry =
        if (entry.isLeaving || !targetAvailability.isLeaving(entry.instance)) entry else entry.copy(isLeaving = true)

    /** Applies those of [records] that don't contradict what is known, which may be newer. */
    private fun addUnknown(records: List<RegistryRecord>) {
        records
            .filter { record ->
                when (record) {
                    is RegistryRecord.Listed -> isUnknown(record.entry)
                    is RegistryRecord.Configuration, is RegistryRecord.Evacuated -> true
                    is RegistryRecord.Restored, is RegistryRecord.Removed, is RegistryRecord.Unreadable -> false
                }
            }.forEach(::apply)
    }

    /** Whether [entry] had been removed before the store came back; the store removes it again if nobody writes it. */
    private fun isRemoved(entry: TargetEntry): Boolean =
        entry.instance in removedBeforeRestoration && clock.steady() < removedEntriesListedUntil

    private fun isUnknown(entry: TargetEntry): Boolean {
        if (isRemoved(entry)) return false
        val known = directory.entries[entry.id] ?: return true
        return (entry.bornAt ?: 0) > (known.bornAt ?: 0)
    }

    private fun replaceAll(
        part: RegistryPart,
        records: List<RegistryRecord>,
        readKind: RegistryReadKind,
    ) {
        if (part == RegistryPart.OPERATORS) {
            evacuated = emptySet()
            return
        }
        val now = clock.steady()
        if (readKind == RegistryReadKind.FULL_AFTER_OUTAGE) missingEntriesKeptUntil = now + relistMilliseconds
        val keepUntil = maxOf(now, missingEntriesKeptUntil)
        val entries = records.filterIsInstance<RegistryRecord.Listed>().map { withLeavingNotice(it.entry) }
        directory = directory.withSnapshot(entries, keepUntil)
        removeExpired(now)
    }

    private fun apply(record: RegistryRecord) {
        when (record) {
            is RegistryRecord.Configuration -> applyConfiguration(record.configuration)
            is RegistryRecord.Evacuated -> evacuated = evacuated + record.failureDomain
            is RegistryRecord.Restored -> evacuated = evacuated - record.failureDomain
            is RegistryRecord.Listed -> applyEntry(withLeavingNotice(record.entry))
            is RegistryRecord.Removed -> applyRemoval(record.target)
            is RegistryRecord.Unreadable -> applyUnreadable(record)
        }
    }

    private fun applyConfiguration(configuration: ServingConfiguration) {
        val previous = catalog
        val updated = previous?.selectNewer(configuration) ?: Catalog(configuration)
        if (updated === previous) return
        catalog = updated
        val version = updated.configuration.version
        eventLogger.record("configuration-in-force", "version" to version, "before" to previous?.configuration?.version)
    }

    private fun applyEntry(entry: TargetEntry) {
        val previous = directory.entries[entry.id]
        if (previous?.instance != entry.instance || previous.isLeaving != entry.isLeaving) {
            eventLogger.record(
                "target-listed",
                "target" to entry.id,
                "service" to entry.service,
                "failureDomain" to entry.failureDomain,
                "fabricDomain" to entry.fabricDomain,
                "leaving" to entry.isLeaving,
                "coldMs" to entry.coldMilliseconds,
            )
        }
        directory = directory.withEntry(entry)
    }

    private fun applyRemoval(target: HostId) {
        if (target in directory.entries) eventLogger.record("target-removed", "target" to target)
        directory = directory.withoutEntry(target, clock.steady())
    }

    private fun applyUnreadable(record: RegistryRecord.Unreadable) {
        eventLogger.record("record-unreadable", "key" to record.key, "reason" to record.reason)
        directory = directory.withoutEntry(HostId(record.key), clock.steady())
    }

    private companion object {
        /** Longer than three heartbeats of targets, after which the store removes entries that nobody writes. */
        const val REMOVED_ENTRIES_LISTED_MILLISECONDS = 6_000L
    }
}
