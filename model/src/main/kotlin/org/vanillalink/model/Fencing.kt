/*
 * Ordered numbers that tell an old decision from a newer one.
 *
 * A FencingNumber grows each time the control of a failure domain changes hands, by a conditional write in the
 * platform's table. A Generation names one set of members of a serving group; it starts with the fencing number of the
 * controller that formed it, so that two controllers can never give the same generation to different members.
 */
package org.vanillalink.model

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue

/** The number of a failure domain's controller; a target that checks refuses an order with a smaller one. */
data class FencingNumber
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: Long,
    ) : Comparable<FencingNumber> {
        override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

        override fun toString(): String = value.toString()

        /** The number that the next controller takes. */
        fun next(): FencingNumber = FencingNumber(value + 1)

        companion object {
            /** Smaller than every number that a controller may hold. */
            val NONE = FencingNumber(0)
        }
    }

/** One set of members of a serving group, ordered by controller and then by that controller's own count. */
data class Generation(
    val fencingNumber: FencingNumber,
    val sequence: Long,
) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = compareValuesBy(this, other, { it.fencingNumber }, { it.sequence })

    override fun toString(): String = "$fencingNumber.$sequence"

    companion object {
        /** Reads the form that [toString] writes, or null where [text] has another shape. */
        fun parse(text: String): Generation? {
            val parts = text.split('.')
            if (parts.size != 2) return null
            val fencingNumber = parts[0].toLongOrNull() ?: return null
            val sequence = parts[1].toLongOrNull() ?: return null
            return Generation(FencingNumber(fencingNumber), sequence)
        }
    }
}
