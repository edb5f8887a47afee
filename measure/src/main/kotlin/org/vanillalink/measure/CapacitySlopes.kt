/*
 * Costs fitted over one size.
 */
package org.vanillalink.measure

import kotlin.math.abs

/** Fits costs over [sizes] of [what] and gives them at [wanted]. */
internal class CapacitySlopes(
    private val what: String,
    private val sizes: List<Double>,
    private val wanted: Double,
) {
    fun figures(costs: List<CapacityCosts>): List<Figure> {
        val kinds = TrafficKind.entries.filter { it != TrafficKind.HOST_LIST }
        return fit("all bytes", "B/s", costs.map { it.controlBytes }, CapacityMeasurement.BYTES_BUDGET) +
            kinds.flatMap { kind -> fit(kind.text, "B/s", costs.map { it.bytes.getValue(kind) }, null) } +
            fit(DECIDING, "us/s", costs.map { it.decidingMicroseconds }, CapacityMeasurement.MICROSECONDS_BUDGET) +
            fit(BUSIEST, "us/s", costs.map { it.busiestMicroseconds }, CapacityMeasurement.MICROSECONDS_BUDGET) +
            fit(CODING, "us/s", costs.map { it.codingMicroseconds }, CapacityMeasurement.MICROSECONDS_BUDGET) +
            fit("heap", "B", costs.map { it.heapBytes }, CapacityMeasurement.HEAP_BUDGET) +
            fit("known peers", "daemons", costs.map { it.knownPeers }, null) +
            fit("rows read", "rows/s a domain", costs.map { it.rowsRead }, null) +
            fit("rows written", "rows/s a domain", costs.map { it.rowsWritten }, null)
    }

    private fun fit(
        cost: String,
        unit: String,
        values: List<Double>,
        budget: String?,
    ): List<Figure> {
        val line = LinearFit.of(sizes, values)
        if (budget == null && abs(line.slope) < LEAST_SLOPE) return emptyList()
        return listOf(
            Figure("$cost, slope per $what", line.slope, unit),
            Figure("$cost, intercept by $what", line.intercept, unit),
            Figure("$cost at ${wanted.toString().removeSuffix(".0")} of $what", line.at(wanted), unit, null, budget),
        )
    }

    companion object {
        /** A cost without a budget that doesn't follow the size isn't listed. */
        private const val LEAST_SLOPE = 1e-6
        private const val DECIDING = "processor, decisions"
        private const val BUSIEST = "processor, decisions, busiest daemon"
        private const val CODING = "processor, JSON"

        /** The costs of one run as they are. */
        fun whole(
            label: String,
            costs: CapacityCosts,
        ): List<Figure> {
            val bytes = costs.bytes.map { (kind, value) -> Figure("${kind.text}, $label", value, "B/s") }
            return bytes +
                budgeted("all bytes", label, costs.controlBytes, "B/s", CapacityMeasurement.BYTES_BUDGET) +
                processor(DECIDING, label, costs.decidingMicroseconds) +
                processor(BUSIEST, label, costs.busiestMicroseconds) +
                processor(CODING, label, costs.codingMicroseconds) +
                budgeted("heap", label, costs.heapBytes, "B", CapacityMeasurement.HEAP_BUDGET) +
                Figure("rows read, $label", costs.rowsRead, "rows/s") +
                Figure("rows written, $label", costs.rowsWritten, "rows/s")
        }

        private fun processor(
            cost: String,
            label: String,
            value: Double,
        ) = budgeted(cost, label, value, "us/s", CapacityMeasurement.MICROSECONDS_BUDGET)

        private fun budgeted(
            cost: String,
            label: String,
            value: Double,
            unit: String,
            budget: String,
        ) = Figure("$cost, $label", value, unit, null, budget)
    }
}
