/*
 * A limit on the bytes that a process keeps of responses, shared by all that keep some. Without I/O, clock and threads.
 */
package org.vanillalink.transport

/**
 * Limits what all [Reservation]s hold together to [limitBytes]. When that is reached, the one that holds most is
 * revoked, and the others go on. Thread safe.
 */
class MemoryBudget(
    val limitBytes: Long,
) {
    private val lock = Any()
    private val holders = HashSet<Reservation>()

    /** The bytes that are held now. */
    @Volatile
    var heldBytes = 0L
        private set

    /** How many reservations were revoked, or refused more since they held most. */
    @Volatile
    var overruns = 0L
        private set

    /** Opens a reservation without any bytes. [onRevoked] is called on the thread of the one that needed the bytes. */
    fun open(onRevoked: () -> Unit): Reservation = Reservation(onRevoked)

    /** The bytes of one holder. */
    inner class Reservation internal constructor(
        private val onRevoked: () -> Unit,
    ) {
        private var bytes = 0L

        /** Whether its bytes were given to others; no more are reserved. */
        @Volatile
        var isRevoked = false
            private set

        /**
         * Adds [added] bytes; returns whether they may be kept. If not, the holder has the most or was revoked, and
         * has to give up what it holds.
         */
        fun reserve(added: Int): Boolean {
            val revoked: Reservation?
            synchronized(lock) {
                if (isRevoked) return false
                revoked = if (heldBytes + added > limitBytes) findLarger(bytes + added) else null
                if (revoked == null && heldBytes + added > limitBytes) {
                    overruns += 1
                    return false
                }
                revoked?.revoke()
                bytes += added
                heldBytes += added
                holders.add(this)
            }
            revoked?.onRevoked?.invoke()
            return true
        }

        /** Gives back [released] bytes. */
        fun release(released: Int) = synchronized(lock) {
            if (isRevoked) return
            bytes -= released
            heldBytes -= released
            if (bytes == 0L) holders.remove(this)
        }

        /** Gives back all bytes; more may be reserved later, unless this was revoked. */
        fun releaseAll() = synchronized(lock) {
            heldBytes -= bytes
            bytes = 0
            holders.remove(this)
        }

        private fun revoke() {
            releaseAll()
            isRevoked = true
            overruns += 1
        }

        /** Its bytes suffice for [wanted], which is less. */
        private fun findLarger(wanted: Long): Reservation? =
            holders.filter { it !== this && it.bytes > wanted }.maxByOrNull { it.bytes }
    }

    companion object {
        /** A part of the heap is left for everything else, also while a body is copied once. */
        private const val HEAP_DIVISOR = 4

        /** Returns the budget of a process with a heap of [maxHeapBytes]. */
        fun ofHeap(maxHeapBytes: Long): MemoryBudget = MemoryBudget(maxHeapBytes / HEAP_DIVISOR)

        /** Returns a budget that only counts. */
        fun unlimited(): MemoryBudget = MemoryBudget(Long.MAX_VALUE)
    }
}
