package org.orioleferry.core.settings

import com.charleskorn.kaml.YamlList
import com.charleskorn.kaml.YamlMap
import com.charleskorn.kaml.YamlNode
import com.charleskorn.kaml.YamlNull
import com.charleskorn.kaml.YamlScalar
import com.charleskorn.kaml.YamlTaggedNode
import java.math.BigDecimal

/** Collects mistakes and records the line of every key read, for checks that concern several keys. */
internal class ProblemCollector(
    private val file: String,
) {
    private val problems = mutableListOf<SettingsProblem>()
    private val lines = mutableMapOf<String, Int>()

    fun sorted(): List<SettingsProblem> = problems.sortedBy { it.line }

    fun recordLine(
        key: String,
        line: Int,
    ) {
        lines[key] = line
    }

    fun lineOf(keys: List<String>): Int = keys.mapNotNull { lines[it] }.maxOrNull() ?: 1

    fun hasProblem(key: String): Boolean = problems.any { it.key == key || key.startsWith("${it.key}.") }

    fun add(
        line: Int,
        key: String,
        expected: String,
        found: String?,
        hint: String? = null,
    ) {
        problems += SettingsProblem(file, line, key, expected, found, hint)
    }
}

/**
 * Reads the keys of one section. A faulty value is reported and replaced by a placeholder, so that reading goes on.
 *
 * [finish] has to be called after the last key, to report the keys that nothing has read.
 */
internal class SectionReader(
    private val map: YamlMap?,
    private val path: String,
    private val line: Int,
    private val problems: ProblemCollector,
) {
    private val known = mutableSetOf<String>()

    fun section(name: String): SectionReader {
        val node = find(name)
        val key = fullKey(name)
        if (node != null && node !is YamlMap && node !is YamlNull) {
            problems.add(node.location.line, key, "a section with keys", describe(node))
        }
        return SectionReader(node as? YamlMap, key, node?.location?.line ?: line, problems)
    }

    fun text(
        name: String,
        expected: String,
        isValid: (String) -> Boolean,
    ): String {
        val node = required(name, expected) ?: return ""
        val content = (node as? YamlScalar)?.content
        if (content == null || !isValid(content)) {
            problems.add(node.location.line, fullKey(name), expected, describe(node))
            return ""
        }
        return content
    }

    fun texts(
        name: String,
        expected: String,
        isValid: (String) -> Boolean,
    ): List<String> {
        val node = find(name) ?: return emptyList()
        val items = (node as? YamlList)?.items
        val values = items?.map { (it as? YamlScalar)?.content ?: "" }
        if (values == null || values.isEmpty() || !values.all(isValid)) {
            problems.add(node.location.line, fullKey(name), expected, describe(node))
            return emptyList()
        }
        return values
    }

    fun int(
        name: String,
        unit: NumberUnit,
        range: IntRange,
        default: Int?,
    ): Int = long(name, unit, range.first.toLong()..range.last.toLong(), default?.toLong()).toInt()

    fun long(
        name: String,
        unit: NumberUnit,
        range: LongRange,
        default: Long?,
    ): Long {
        val expected = "a whole number${unit.phrase} from ${range.first} to ${range.last}"
        val node = (if (default == null) required(name, expected) else find(name)) ?: return default ?: range.first
        val content = (node as? YamlScalar)?.content
        val value = content?.replace("_", "")?.toLongOrNull()
        if (value != null && value in range) return value
        val hint = content?.let { unit.convert(it) }?.let { "$content is $it in this unit" }
        problems.add(node.location.line, fullKey(name), expected, describe(node), hint)
        return default ?: range.first
    }

    /** Reports every key that has not been read, with the closest known key as a hint. */
    fun finish() {
        map?.entries?.forEach { (key, value) ->
            if (key.content in known) return@forEach
            val closest = closestKey(key.content, known)
            val amount = (value as? YamlScalar)?.content
            val converted =
                amount
                    ?.takeIf {
                        closest?.endsWith(
                            "Ms",
                        ) == true
                    }?.let { NumberUnit.MILLISECONDS.convert(it) }
            val hint = closest?.let { if (converted == null) "did you mean $it?" else "did you mean $it: $converted?" }
            val names = known.sorted().joinToString(", ")
            problems.add(key.location.line, fullKey(key.content), "one of the keys $names", "an unknown key", hint)
        }
    }

    private fun required(
        name: String,
        expected: String,
    ): YamlNode? {
        val node = find(name)?.takeIf { it !is YamlNull }
        if (node == null) problems.add(line, fullKey(name), expected, null)
        return node
    }

    private fun find(name: String): YamlNode? {
        known += name
        val node = map?.get<YamlNode>(name)
        if (node != null) problems.recordLine(fullKey(name), node.location.line)
        return node
    }

    private fun fullKey(name: String): String = if (path.isEmpty()) name else "$path.$name"
}

/** Unit of a number in the settings. */
internal enum class NumberUnit(
    val phrase: String,
    private val factors: Map<String, Long>,
) {
    MILLISECONDS(
        " of milliseconds",
        mapOf("ms" to 1, "s" to 1_000, "sec" to 1_000, "m" to 60_000, "min" to 60_000, "h" to 3_600_000),
    ),
    BYTES(
        " of bytes",
        mapOf("b" to 1, "kb" to 1_000, "kib" to 1_024, "k" to 1_024, "mb" to 1_000_000, "mib" to 1_048_576),
    ),
    COUNT("", emptyMap()),
    ;

    /** Converts an amount with a unit, such as `1.5s`, or returns null when [text] is none. */
    fun convert(text: String): Long? {
        val match = AMOUNT.matchEntire(text.trim()) ?: return null
        val factor = factors[match.groupValues[2].lowercase()] ?: return null
        return BigDecimal(match.groupValues[1]).multiply(BigDecimal(factor)).toLong()
    }

    private companion object {
        val AMOUNT = Regex("""(\d{1,12}(?:\.\d{1,6})?)\s*([A-Za-z]+)""")
    }
}

internal fun describe(node: YamlNode): String =
    when (node) {
        is YamlScalar -> "'${node.content}'"
        is YamlList -> "a list"
        is YamlMap -> "a section"
        is YamlNull -> "nothing"
        is YamlTaggedNode -> "a tagged value"
    }
