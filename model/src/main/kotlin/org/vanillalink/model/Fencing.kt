/*
 * Ordered numbers that tell outdated decisions from current ones.
 *
 * A FencingNumber increases each time a failure domain gets another controller, by a conditional write to the
 * platform's table. A Generation identifies one set of members of a serving group. It starts with the fencing number of
 * the controller that formed the set, so that two controllers can never assign the same generation to different sets.
 */
package org.vanillalink.model

import com.fasterxml.jackson.annotation.JsonCreator
import com.fasterxml.jackson.annotation.JsonValue

/**
 * The fencing token of a failure domain's controller. A target that checks fencing rejects orders with a smaller number
 * than the highest that it has accepted.
 */
data class FencingNumber
    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    constructor(
        @get:JsonValue val value: Long,
    ) : Comparable<FencingNumber> {
        override fun compareTo(other: FencingNumber): Int = value.compareTo(other.value)

        override fun toString(): String = value.toString()

        /** The fencing number of the succeeding controller. */
        fun next(): FencingNumber = FencingNumber(value + 1)

        companion object {
            /** Smaller than the number of any controller. */
            val NONE = FencingNumber(0)
        }
    }

/** Version of a serving group's membership, ordered by controller and then by that controller's sequence number. */
data class Generation(
    val fencingNumber: FencingNumber,
    val sequence: Long,
) : Comparable<Generation> {
    override fun compareTo(other: Generation): Int = compareValuesBy(this, other, { it.fencingNumber }, { it.sequence })

    override fun toString(): String = "$fencingNumber.$sequence"

    companion object {
        /** Parses the format of [toString]; null if [text] is malformed. */
        fun parse(text: String): Generation? {
            val parts = text.split('.')
            if (parts.size != 2) return null
            val fencingNumber = parts[0].toLongOrNull() ?: return null
            val sequence = parts[1].toLongOrNull() ?: return null
            return Generation(FencingNumber(fencingNumber), sequence)
        }
    }
}
