/*
 * The latest time for each of a bounded number of keys.
 */
package org.vanillalink.serving.balancing

/** Keeps the [capacity] keys that were updated last. */
internal class RecentTimes<K : Any>(
    private val capacity: Int,
) {
    private val times = LinkedHashMap<K, Long>()

    operator fun get(key: K): Long? = times[key]

    /** Sets the time of [key] unless a later one is known; returns whether it was set. */
    fun advance(
        key: K,
        time: Long,
    ): Boolean {
        if ((times[key] ?: Long.MIN_VALUE) >= time) return false
        times.remove(key)
        times[key] = time
        if (times.size > capacity) times.remove(times.keys.first())
        return true
    }

    /** The keys with a time after [start]. */
    fun since(start: Long): Map<K, Long> = times.filterValues { it > start }
}
