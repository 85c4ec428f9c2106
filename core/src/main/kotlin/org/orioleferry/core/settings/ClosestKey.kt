package org.orioleferry.core.settings

/** Finds the known key that was most likely meant by [key], or null when none is similar enough. */
internal fun closestKey(
    key: String,
    known: Set<String>,
): String? {
    val prefixed = known.filter { it.startsWith(key, ignoreCase = true) || key.startsWith(it, ignoreCase = true) }
    val best = (prefixed.ifEmpty { known }).minByOrNull { editDistance(it.lowercase(), key.lowercase()) } ?: return null
    val isClose = prefixed.isNotEmpty() || editDistance(best.lowercase(), key.lowercase()) <= 1 + key.length / 3
    return best.takeIf { isClose }
}

/** Number of characters to insert, delete or replace to turn [from] into [to]. */
private fun editDistance(
    from: String,
    to: String,
): Int {
    var row = IntArray(to.length + 1) { it }
    for (i in from.indices) {
        val next = IntArray(to.length + 1)
        next[0] = i + 1
        for (j in to.indices) {
            val replace = row[j] + if (from[i] == to[j]) 0 else 1
            next[j + 1] = minOf(replace, row[j + 1] + 1, next[j] + 1)
        }
        row = next
    }
    return row[to.length]
}
