/*
 * A metadata store in memory: rows with versions from one counter, transactions under conditions, and a feed of
 * changes. It can be told to fail in the ways that the published protocol allows.
 */
package org.vanillalink.standins.rows

/** Where a row is. */
data class RowAddress(
    val table: String,
    val part: String,
    val key: String,
)

/** A row as of a version; [value] is null once it was removed. */
data class VersionedRow(
    val address: RowAddress,
    val value: String?,
    val version: Long,
)

/** Ways to fail. */
enum class StoreFault { NONE, UNAVAILABLE, BUSY, ANSWERS_LOST, HISTORY_LOST }

/** Thread safe. */
class RowStore {
    private val rows = LinkedHashMap<RowAddress, VersionedRow>()
    private var version = 0L
    private val waiters = mutableListOf<() -> Boolean>()

    /** How calls fail now. */
    @Volatile
    var fault = StoreFault.NONE

    /** Applies all of [puts] and [removals] if each of [expectedVersions] holds; gives the version, or null. */
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

    /** Writes one row, whatever was there. */
    fun put(
        table: String,
        key: String,
        value: String,
    ) {
        transact(emptyMap(), mapOf(RowAddress(table, "", key) to value), emptySet())
    }

    /** Removes one row. */
    fun remove(
        table: String,
        key: String,
    ) {
        transact(emptyMap(), emptyMap(), setOf(RowAddress(table, "", key)))
    }

    /** The rows of [table] and [part] in order of their keys, with the store's version. */
    @Synchronized
    fun read(
        table: String,
        part: String,
    ): Pair<List<VersionedRow>, Long> {
        val matches = rows.values.filter { it.address.table == table && it.address.part == part && it.value != null }
        return matches.sortedBy { it.address.key } to version
    }

    /** The row at [address], or null. */
    @Synchronized
    fun row(address: RowAddress): VersionedRow? = rows[address]?.takeIf { it.value != null }

    /** Rows of [table] changed after [after], removed ones too. */
    @Synchronized
    fun changes(
        table: String,
        after: Long,
    ): Pair<List<VersionedRow>, Long> =
        rows.values.filter { it.address.table == table && it.version > after }.sortedBy { it.version } to version

    /** Calls [isComplete] after each change until it gives true. */
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
