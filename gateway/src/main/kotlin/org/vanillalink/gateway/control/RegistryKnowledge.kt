/*
 * What this daemon knows from the registry: the configuration, the targets, and what is evacuated. Each change of
 * belief is written down.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLogger
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.catalog.ServingConfiguration
import org.vanillalink.serving.choice.TargetNotices
import org.vanillalink.serving.targets.TargetDirectory
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetRun

/** What a set of records stands for. */
internal enum class RegistryRead {
    /** What has changed. */
    CHANGES,

    /** All that there is; what is missing was removed, unless an outage has just ended. */
    WHOLE,

    /** All that there is after a time without answers; what is missing may come back. */
    WHOLE_AFTER_OUTAGE,
}

/** Lives on the control thread. Entries that lapsed in an outage are kept for [relistMilliseconds]. */
internal class RegistryKnowledge(
    private val eventLogger: EventLogger,
    private val clock: GatewayClock,
    private val relistMilliseconds: Long,
) {
    /** Read on traffic threads as well. */
    @Volatile
    var catalog: Catalog? = null
        private set
    var directory = TargetDirectory()
        private set
    var evacuated: Set<FailureDomainId> = emptySet()
        private set

    private val notices = TargetNotices()

    /** Until when entries that a whole read lacks may come back. */
    private var missingKeptUntil = Long.MIN_VALUE

    /** Takes over [records]. */
    fun apply(
        records: List<RegistryRecord>,
        read: RegistryRead,
    ) {
        val before = evacuated
        if (read != RegistryRead.CHANGES) replace(records, read)
        records.forEach(::apply)
        if (evacuated != before) eventLogger.record("evacuation", "failureDomains" to evacuated.joinToString(","))
    }

    /** Drops entries that have been missing for too long at [now]. */
    fun expire(now: Long) {
        notices.tidy(now)
        val left = directory.expired(now)
        (directory.entries.keys - left.entries.keys).forEach { eventLogger.record("target-expired", "target" to it) }
        directory = left
    }

    /** [run] itself has said that it leaves, whatever the registry lists; [source] tells who heard it. */
    fun leaves(
        run: TargetRun,
        source: String,
    ) {
        if (!notices.leaves(run, clock.steady())) return
        eventLogger.record("target-leaves", "target" to run.id, "bornAt" to run.bornAt, "heardBy" to source)
        directory.entries[run.id]?.let { directory = directory.listed(noticed(it)) }
    }

    private fun noticed(entry: TargetEntry): TargetEntry =
        if (entry.isLeaving || !notices.isLeaving(entry.run)) entry else entry.copy(isLeaving = true)

    private fun replace(
        records: List<RegistryRecord>,
        read: RegistryRead,
    ) {
        val isOfOperators = records.any { it is RegistryRecord.Configuration || it is RegistryRecord.Evacuated }
        if (isOfOperators) {
            evacuated = emptySet()
            return
        }
        val now = clock.steady()
        if (read == RegistryRead.WHOLE_AFTER_OUTAGE) missingKeptUntil = now + relistMilliseconds
        val until = maxOf(now, missingKeptUntil)
        val entries = records.filterIsInstance<RegistryRecord.Listed>().map { noticed(it.entry) }
        directory = directory.replaced(entries, until)
        expire(now)
    }

    private fun apply(record: RegistryRecord) {
        when (record) {
            is RegistryRecord.Configuration -> configured(record.configuration)
            is RegistryRecord.Evacuated -> evacuated = evacuated + record.failureDomain
            is RegistryRecord.Restored -> evacuated = evacuated - record.failureDomain
            is RegistryRecord.Listed -> listed(noticed(record.entry))
            is RegistryRecord.Removed -> removed(record.target)
            is RegistryRecord.Unreadable -> unreadable(record)
        }
    }

    private fun configured(configuration: ServingConfiguration) {
        val before = catalog
        val after = before?.advance(configuration) ?: Catalog(configuration)
        if (after === before) return
        catalog = after
        val version = after.configuration.version
        eventLogger.record("configuration-in-force", "version" to version, "before" to before?.configuration?.version)
    }

    private fun listed(entry: TargetEntry) {
        val before = directory.entries[entry.id]
        if (before?.run != entry.run || before.isLeaving != entry.isLeaving) {
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
        directory = directory.listed(entry)
    }

    private fun removed(target: HostId) {
        if (target in directory.entries) eventLogger.record("target-removed", "target" to target)
        directory = directory.removed(target, clock.steady())
    }

    private fun unreadable(record: RegistryRecord.Unreadable) {
        eventLogger.record("record-unreadable", "key" to record.key, "reason" to record.reason)
        directory = directory.removed(HostId(record.key), clock.steady())
    }
}
