/*
 * Prints results as JSON or as tables.
 */
package org.vanillalink.tool

import org.vanillalink.transport.Json

/** How results are printed, as given by `--output`. */
enum class OutputFormat { TABLE, JSON }

/** Prints results to the standard output. */
object Output {
    private const val COLUMN_SEPARATOR = "  "

    /** Prints [value] on one line as JSON. */
    fun printJson(value: Any) = println(Json.write(value).decodeToString())

    /** Prints [rows] under [headings], each column as wide as its widest cell. */
    fun printTable(
        headings: List<String>,
        rows: List<List<Any?>>,
    ) {
        val cells = listOf(headings) + rows.map { row -> row.map { it?.toString() ?: "-" } }
        val widths = headings.indices.map { column -> cells.maxOf { it[column].length } }
        cells.forEach { row -> println(formatRow(row, widths)) }
    }

    private fun formatRow(
        row: List<String>,
        widths: List<Int>,
    ): String = row.mapIndexed { column, cell -> cell.padEnd(widths[column]) }.joinToString(COLUMN_SEPARATOR).trimEnd()
}
