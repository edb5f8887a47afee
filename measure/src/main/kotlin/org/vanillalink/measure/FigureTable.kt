/*
 * Figures as a table of text.
 */
package org.vanillalink.measure

import java.util.Locale

/** Writes figures with their baselines and targets, one a line. */
internal object FigureTable {
    private const val SMALL = 10.0
    private const val LARGE = 1_000.0

    fun lines(measured: MeasuredFigures): List<String> {
        val title = String.format(Locale.ROOT, "%n== %s (%.1f s)", measured.name, measured.seconds)
        val rows =
            measured.figures.map {
                listOf(
                    it.name,
                    number(it.value),
                    it.unit,
                    baseline(it),
                    it.target.orEmpty(),
                )
            }
        val table = listOf(listOf("figure", "value", "unit", "baseline", "target")) + rows
        val widths = table.first().indices.map { column -> table.maxOf { it[column].length } }
        return listOf(title) + table.map { row -> line(row, widths) }
    }

    private fun line(
        row: List<String>,
        widths: List<Int>,
    ): String = row.mapIndexed { column, text -> text.padEnd(widths[column]) }.joinToString("  ").trimEnd()

    private fun baseline(figure: Figure): String = figure.baseline?.let { number(it) } ?: "-"

    private fun number(value: Double): String {
        val size = kotlin.math.abs(value)
        if (size < SMALL) return String.format(Locale.ROOT, "%.3f", value)
        if (size < LARGE) return String.format(Locale.ROOT, "%.1f", value)
        return String.format(Locale.ROOT, "%.0f", value)
    }
}
