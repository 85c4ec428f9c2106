package org.orioleferry.daemon.page

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull

/** Fields whose values differ from run to run; only their presence and type are compared. */
private val varyingFields =
    setOf("requestId", "worker", "leaseId", "submittedWallMs", "startedWallMs", "wallMs", "logicalTime", "lateMs") +
        setOf("epoch", "used", "borrowed", "reclaimable", "acceleratorsInUse", "slotsInUse")

/** Maps whose keys are names; the page shows some of them. */
private val shortenedMaps = setOf("configuration.workspaces", "configuration.classes", "configuration.policies")

/** Lists of which the page shows some entries, and the field that tells the entries apart. */
private val shortenedLists =
    mapOf("workers" to "id", "workspaces" to "name", "events" to "name")

/** Differences between the JSON on the page and the JSON of an answer, each with its path. */
internal fun differences(
    page: JsonElement,
    answer: JsonElement,
    path: String,
): List<String> =
    when (page) {
        is JsonObject -> objectDifferences(page, answer, path)
        is JsonArray -> listDifferences(page, answer, path)
        is JsonPrimitive -> valueDifferences(page, answer, path)
    }

private fun objectDifferences(
    page: JsonObject,
    answer: JsonElement,
    path: String,
): List<String> {
    if (answer !is JsonObject) return listOf("$path is not an object")
    val isSame = if (path in shortenedMaps) answer.keys.containsAll(page.keys) else answer.keys == page.keys
    if (!isSame) return listOf("$path has the fields ${answer.keys}, the page ${page.keys}: $answer")
    return page.flatMap { (name, value) -> differences(value, answer.getValue(name), childPath(path, name)) }
}

private fun childPath(
    path: String,
    name: String,
) = if (path.isEmpty()) name else "$path.$name"

private fun listDifferences(
    page: JsonArray,
    answer: JsonElement,
    path: String,
): List<String> {
    if (answer !is JsonArray) return listOf("$path is not a list")
    val identity = shortenedLists[path]
    if (identity == null) {
        if (page.size != answer.size) return listOf("$path has ${answer.size} entries, the page ${page.size}: $answer")
        return page.zip(answer).flatMap { (wanted, actual) -> differences(wanted, actual, "$path[]") }
    }
    return page.flatMap { wanted ->
        val name = (wanted as JsonObject)[identity]
        val actual = answer.firstOrNull { (it as? JsonObject)?.get(identity) == name }
        actual?.let { differences(wanted, it, "$path[]") } ?: listOf("$path has no entry $name: $answer")
    }
}

private fun valueDifferences(
    page: JsonPrimitive,
    answer: JsonElement,
    path: String,
): List<String> =
    when {
        answer !is JsonPrimitive || typeOf(page) != typeOf(answer) -> listOf("$path is $answer, the page has $page")
        path.substringAfterLast('.') in varyingFields || path.startsWith("instances[].owned.") -> emptyList()
        page.withoutTimes() == answer.withoutTimes() -> emptyList()
        else -> listOf("$path is $answer, the page has $page")
    }

/** A message may state how long the daemon waited, which differs from run to run. */
private fun JsonPrimitive.withoutTimes(): String = content.replace(WAITED, "within N ms")

private val WAITED = Regex("within \\d+ ms")

private fun typeOf(value: JsonPrimitive): String =
    when {
        value is JsonNull -> "null"
        value.isString -> "string"
        value.booleanOrNull != null -> "boolean"
        else -> "number"
    }
