package org.orioleferry.cli

private const val COLUMN_GAP = "  "

/** Renders [rows] aligned under [headings]. Columns of numbers are aligned to the right. */
internal fun textTable(
    headings: List<String>,
    rows: List<List<String>>,
): String {
    val widths = headings.indices.map { column -> (rows.map { it[column] } + headings[column]).maxOf { it.length } }
    val numeric = headings.indices.map { column -> rows.isNotEmpty() && rows.all { isNumber(it[column]) } }
    return (listOf(headings.map { it.uppercase() }) + rows).joinToString("\n") { row ->
        row
            .mapIndexed { column, cell ->
                if (numeric[column]) cell.padStart(widths[column]) else cell.padEnd(widths[column])
            }.joinToString(COLUMN_GAP)
            .trimEnd()
    }
}

private fun isNumber(cell: String): Boolean = cell.trimEnd('%').toDoubleOrNull() != null || cell == "-"
