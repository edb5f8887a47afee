/*
 * A body that is kept until it is complete, in parts, so that it is not copied as it grows.
 */
package org.vanillalink.transport

/** Why more of a body can't be kept. */
enum class BodyOverflow {
    /** It exceeds the limit for one body. */
    TOO_LARGE,

    /** All bodies together exceed the memory for them, and this one is the largest. */
    MEMORY_LIMIT,
}

/**
 * At most [maxBytes], which are reserved in [budget]. [onRevoked] is called when others need the memory and this is the
 * largest; nothing is kept then.
 */
class HeldBody(
    budget: MemoryBudget,
    private val maxBytes: Int,
    private val onRevoked: (HeldBody) -> Unit = {},
) {
    private val reservation =
        budget.open {
            onRevoked(this)
            forget()
        }
    private var parts = ArrayList<ByteArray>()
    private var freeInLastPart = 0

    var size = 0
        private set

    /** Appends the bytes of [source] from index [from] on, or returns why they can't be kept. */
    fun append(
        source: ByteArray,
        from: Int = 0,
    ): BodyOverflow? {
        val added = source.size - from
        if (size + added > maxBytes) return BodyOverflow.TOO_LARGE
        val inLastPart = minOf(added, freeInLastPart)
        val remaining = added - inLastPart
        // Parts grow with the body, so that small chunks don't cost an array each.
        val newPartSize = if (remaining == 0) 0 else maxOf(remaining, minOf(size, MAX_SPARE_BYTES))
        // What is reserved may revoke another body, whose owner may in turn need the memory of this one.
        if (newPartSize > 0 && (!reservation.reserve(newPartSize) || reservation.isRevoked)) {
            return BodyOverflow.MEMORY_LIMIT
        }
        if (inLastPart > 0) {
            val last = parts.last()
            source.copyInto(last, last.size - freeInLastPart, from, from + inLastPart)
            freeInLastPart -= inLastPart
        }
        if (newPartSize > 0) {
            parts.add(source.copyInto(ByteArray(newPartSize), 0, from + inLastPart))
            freeInLastPart = newPartSize - remaining
        }
        size += added
        return null
    }

    /** Returns the body in one array. */
    fun toByteArray(): ByteArray {
        val whole = ByteArray(size)
        var position = 0
        parts.forEach { part ->
            val length = minOf(part.size, size - position)
            part.copyInto(whole, position, 0, length)
            position += length
        }
        return whole
    }

    /** Keeps nothing any more. */
    fun release() {
        reservation.releaseAll()
        forget()
    }

    private fun forget() {
        parts = ArrayList()
        freeInLastPart = 0
        size = 0
    }

    private companion object {
        const val MAX_SPARE_BYTES = 65_536
    }
}
