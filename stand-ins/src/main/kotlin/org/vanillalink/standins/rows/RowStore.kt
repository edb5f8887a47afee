/*
 * In-memory metadata store: rows with versions from one counter, conditional transactions and a change feed. Faults
 * that the published protocol allows can be injected.
 */
package org.vanillalink.standins.rows

/** The address of a row. */
data class RowAddress(
    val table: String,
    val part: String,
    val key: String,
)

/** A row at [version]; [value] is null once the row was removed. */
data class VersionedRow(
    val address: RowAddress,
    val value: String?,
    val version: Long,
)

/** Faults that can be injected. */
enum class StoreFault { NONE, UNAVAILABLE, BUSY, ANSWERS_LOST, HISTORY_LOST }

/** The rows and the version of a store at one moment. */
class RowStoreCopy internal constructor(
    internal val rows: Map<RowAddress, VersionedRow>,
    internal val version: Long,
)

/** An in-memory metadata store; thread-safe. */
class RowStore {
    private val rows = LinkedHashMap<RowAddress, VersionedRow>()
    private var version = 0L
    private val waiters = mutableListOf<() -> Boolean>()

    /** How often the store has come back from a copy, plus one; sent in all responses. */
    @Volatile
    var era = 1L
        private set

    @Synchronized
    fun copy() = RowStoreCopy(LinkedHashMap(rows), version)

    /** Returns to the state of [copy]: later writes are lost, and their versions are given out again. */
    fun restore(copy: RowStoreCopy) {
        synchronized(this) {
            rows.clear()
            rows.putAll(copy.rows)
            version = copy.version
            era += 1
        }
        notifyWaiters()
    }

    /** Whether the store has reached [version] in its current era. */
    @Synchronized
    fun hasReached(version: Long): Boolean = version <= this.version

    /** The fault injected into calls; [RowStoreHandler] applies it. */
    @Volatile
    var fault = StoreFault.NONE

    /** Applies [puts] and [removals] if all [expectedVersions] match; returns the new version, or null. */
    fun transact(
        expectedVersions: Map<RowAddress, Long>,
        puts: Map<RowAddress, String>,
        removals: Set<RowAddress>,
    ): Long? {
        val newVersion = apply(expectedVersions, puts, removals)
        if (newVersion != null) notifyWaiters()
        return newVersion
    }

    @Synchronized
    private fun apply(
        expectedVersions: Map<RowAddress, Long>,
        puts: Map<RowAddress, String>,
        removals: Set<RowAddress>,
    ): Long? {
        if (expectedVersions.any { (address, expected) -> currentVersion(address) != expected }) return null
        version += 1
        puts.forEach { (address, value) -> rows[address] = VersionedRow(address, value, version) }
        removals.filter { it in rows }.forEach { rows[it] = VersionedRow(it, null, version) }
        return version
    }

    /** Writes one row unconditionally. */
    fun put(
        table: String,
        key: String,
        value: String,
    ) {
        transact(emptyMap(), mapOf(RowAddress(table, "", key) to value), emptySet())
    }

    /** Removes one row unconditionally. */
    fun remove(
        table: String,
        key: String,
    ) {
        transact(emptyMap(), emptyMap(), setOf(RowAddress(table, "", key)))
    }

    /** Returns the rows of [table] and [part] in key order, with the store's version. */
    @Synchronized
    fun read(
        table: String,
        part: String,
    ): Pair<List<VersionedRow>, Long> {
        val matches = rows.values.filter { it.address.table == table && it.address.part == part && it.value != null }
        return matches.sortedBy { it.address.key } to version
    }

    /** Returns the row at [address], or null if it is absent. */
    @Synchronized
    fun row(address: RowAddress): VersionedRow? = rows[address]?.takeIf { it.value != null }

    /** Returns the rows of [table] with a version above [after], removed ones included, and the store's version. */
    @Synchronized
    fun changes(
        table: String,
        after: Long,
    ): Pair<List<VersionedRow>, Long> =
        rows.values.filter { it.address.table == table && it.version > after }.sortedBy { it.version } to version

    /** Calls [isComplete] after each change until it returns true. */
    @Synchronized
    fun notifyOnChanges(isComplete: () -> Boolean) {
        waiters += isComplete
    }

    private fun notifyWaiters() {
        val pendingChecks = synchronized(this) { waiters.toList() }
        val completed = pendingChecks.filter { it() }
        synchronized(this) { waiters.removeAll(completed) }
    }

    private fun currentVersion(address: RowAddress): Long = rows[address]?.takeIf { it.value != null }?.version ?: 0
}
