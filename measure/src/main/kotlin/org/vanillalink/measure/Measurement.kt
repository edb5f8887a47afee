/*
 * What a measurement is: a seeded run that gives figures, each beside the baseline of the same run.
 */
package org.vanillalink.measure

/** One measured value; [baseline] is the simplest policy's value in the same run, where there is one. */
data class Figure(
    val name: String,
    val value: Double,
    val unit: String,
    val baseline: Double? = null,
    val target: String? = null,
)

/** A seeded measurement. */
interface Measurement {
    /** The name on the command line. */
    val name: String

    /** Runs once with [seed]; the same seed gives the same figures unless the figures are of real time. */
    fun run(seed: Long): List<Figure>
}
