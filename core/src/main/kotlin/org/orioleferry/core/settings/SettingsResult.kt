package org.orioleferry.core.settings

/**
 * One mistake in a settings file.
 *
 * @property line line in the file, from 1; 0 when the file could not be read at all.
 * @property key full key such as `ownership.ttlMs`; empty when the mistake concerns the whole file.
 * @property expected what the file should state at this place.
 * @property found what it states, or null when the key is missing.
 * @property hint the likely intention, or null.
 */
public data class SettingsProblem(
    val file: String,
    val line: Int,
    val key: String,
    val expected: String,
    val found: String? = null,
    val hint: String? = null,
) {
    /** Formats the mistake as one line, `file:line: key: expected ..., found ...`. */
    override fun toString(): String =
        buildString {
            append(file).append(':').append(line).append(": ")
            if (key.isNotEmpty()) append(key).append(": ")
            append("expected ").append(expected)
            append(if (found == null) ", but it is missing" else ", found $found")
            if (hint != null) append(" (").append(hint).append(')')
        }
}

/** Result of reading a settings file. */
public sealed interface SettingsResult {
    /** The file is free of mistakes. */
    public data class Loaded(
        val settings: DaemonSettings,
    ) : SettingsResult

    /** The file has at least one mistake; [problems] has all of them in the order of their lines. */
    public data class Rejected(
        val problems: List<SettingsProblem>,
    ) : SettingsResult
}
