/*
 * A line through measured sizes by least squares.
 */
package org.vanillalink.measure

/** `intercept + slope * size`. */
internal data class LinearFit(
    val intercept: Double,
    val slope: Double,
) {
    fun at(size: Double): Double = intercept + slope * size

    companion object {
        /** The line through [values] measured at [sizes]. */
        fun of(
            sizes: List<Double>,
            values: List<Double>,
        ): LinearFit {
            val meanSize = sizes.average()
            val meanValue = values.average()
            val covariance = sizes.indices.sumOf { (sizes[it] - meanSize) * (values[it] - meanValue) }
            val slope = covariance / sizes.sumOf { (it - meanSize) * (it - meanSize) }
            return LinearFit(meanValue - slope * meanSize, slope)
        }
    }
}
