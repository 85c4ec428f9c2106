package org.orioleferry.bench.capacity

import kotlinx.serialization.encodeToString
import org.orioleferry.bench.process.benchJson
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableService

private const val ALL_ROWS = 1_000_000

/** All rows of [table] whose key begins with [prefix]. */
internal suspend fun TableService.rows(
    table: String,
    prefix: String = "",
): List<Row> = (scan(table, prefix, null, ALL_ROWS) as ReadResult.Found).value

/** Bytes of these rows as the platform's protocol carries them. */
internal fun List<Row>.wireBytes(): Double = sumOf { benchJson.encodeToString(it).toByteArray().size }.toDouble()
