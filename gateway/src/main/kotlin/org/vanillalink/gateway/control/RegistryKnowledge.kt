/*
 * What this daemon knows from the registry: the configuration, the targets, and what is evacuated. Each change of
 * belief is written down.
 */
package org.vanillalink.gateway.control

import org.vanillalink.gateway.logs.EventLines
import org.vanillalink.gateway.ports.RegistryRecord
import org.vanillalink.model.FailureDomainId
import org.vanillalink.model.HostId
import org.vanillalink.serving.balancing.TargetAvailability
import org.vanillalink.serving.catalog.Catalog
import org.vanillalink.serving.catalog.ServingConfiguration
import org.vanillalink.serving.targets.TargetDirectory
import org.vanillalink.serving.targets.TargetEntry
import org.vanillalink.serving.targets.TargetInstance

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
    private val lines: EventLines,
    private val clock: EntryClock,
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

    private val notices = TargetAvailability()

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
        if (evacuated != before) lines.record("evacuation", "failureDomains" to evacuated.joinToString(","))
    }

    /** Drops entries that have been missing for too long at [now]. */
    fun expire(now: Long) {
        notices.removeExpired(now)
        val left = directory.withoutExpired(now)
        (directory.entries.keys - left.entries.keys).forEach { lines.record("target-expired", "target" to it) }
        directory = left
    }

    /** [run] itself has said that it leaves, whatever the registry lists; [source] tells who heard it. */
    fun leaves(
        run: TargetInstance,
        source: String,
    ) {
        if (!notices.recordLeaving(run, clock.steady())) return
        lines.record("target-leaves", "target" to run.id, "bornAt" to run.bornAt, "heardBy" to source)
        directory.entries[run.id]?.let { directory = directory.withEntry(noticed(it)) }
    }

    private fun noticed(entry: TargetEntry): TargetEntry =
        if (entry.isLeaving || !notices.isLeaving(entry.instance)) entry else entry.copy(isLeaving = true)

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
        directory = directory.withSnapshot(entries, until)
        expire(now)
    }

    private fun apply(record: RegistryRecord) {
        when (record) {
            is RegistryRecord.Configuration -> configured(record.configuration)
            is RegistryRecord.Evacuated -> evacuated = evacuated + record.failureDomain
            is RegistryRecord.TakenBack -> evacuated = evacuated - record.failureDomain
            is RegistryRecord.Listed -> listed(noticed(record.entry))
            is RegistryRecord.Removed -> removed(record.target)
            is RegistryRecord.Unreadable -> unreadable(record)
        }
    }

    private fun configured(configuration: ServingConfiguration) {
        val before = catalog
        val after = before?.selectNewer(configuration) ?: Catalog(configuration)
        if (after === before) return
        catalog = after
        val version = after.configuration.version
        lines.record("configuration-in-force", "version" to version, "before" to before?.configuration?.version)
    }

    private fun listed(entry: TargetEntry) {
        val before = directory.entries[entry.id]
        if (before?.instance != entry.instance || before.isLeaving != entry.isLeaving) {
            lines.record(
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

    private fun removed(target: HostId) {
        if (target in directory.entries) lines.record("target-removed", "target" to target)
        directory = directory.withoutEntry(target, clock.steady())
    }

    private fun unreadable(record: RegistryRecord.Unreadable) {
        lines.record("record-unreadable", "key" to record.key, "reason" to record.reason)
        directory = directory.withoutEntry(HostId(record.key), clock.steady())
    }
}
