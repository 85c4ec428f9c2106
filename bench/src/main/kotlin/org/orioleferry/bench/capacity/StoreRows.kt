package org.orioleferry.bench.capacity

import kotlinx.serialization.encodeToString
import org.orioleferry.bench.process.benchJson
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableService

private const val SCAN_LIMIT_ROWS = 1_000_000

/** Reads all rows of [table] whose key begins with [prefix]. */
internal suspend fun TableService.rows(
    table: String,
    prefix: String = "",
): List<Row> = (scan(table, prefix, null, SCAN_LIMIT_ROWS) as ReadResult.Found).value

/** Total size in bytes of these rows as JSON in the platform's protocol. */
internal fun List<Row>.wireBytes(): Double = sumOf { benchJson.encodeToString(it).toByteArray().size }.toDouble()
