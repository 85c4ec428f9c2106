package org.orioleferry.cli

import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.encodeToJsonElement
import kotlinx.serialization.json.jsonObject
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.ReleaseNote

/** One change of the configuration in force by a release note. [problem] is the reason why it cannot be applied. */
@Serializable
internal data class Difference(
    val sign: Char,
    val kind: String,
    val name: String,
    val fields: List<String> = emptyList(),
    val problem: String? = null,
) {
    override fun toString(): String =
        (listOfNotNull("$sign $kind $name", problem?.let { "    problem: $it" }) + fields.map { "    $it" })
            .joinToString("\n")
}

internal fun List<Difference>.toJson(): JsonElement =
    toolJson.encodeToJsonElement(ListSerializer(Difference.serializer()), this)

// Encodes default values, since a change replaces the whole definition.
private val fullJson = Json { encodeDefaults = true }

internal fun differences(
    configuration: Configuration,
    note: ReleaseNote,
): List<Difference> {
    val current = configuration.byKind()
    val added =
        note.add.byKind().flatMap { (kind, items) ->
            items.map { (name, item) -> add(kind, name, item, current) }
        }
    val changed =
        note.change.byKind().flatMap { (kind, items) ->
            items.map { (name, item) -> change(kind, name, item, current) }
        }
    val names =
        mapOf(
            WORKSPACE to note.withdraw.workspaces.map { it.value },
            CLASS to note.withdraw.classes.map { it.value },
            POLICY to note.withdraw.policies,
        )
    return added + changed.filterNotNull() +
        names.flatMap { (kind, list) ->
            list.map { Difference('-', kind, it, problem = if (current.has(kind, it)) null else "not in force") }
        }
}

private const val WORKSPACE = "workspace"
private const val CLASS = "class"
private const val POLICY = "policy"

private typealias ByKind = Map<String, Map<String, JsonObject>>

private fun ByKind.has(
    kind: String,
    name: String,
): Boolean = getValue(kind).containsKey(name)

private fun add(
    kind: String,
    name: String,
    item: JsonObject,
    current: ByKind,
): Difference {
    val problem = if (current.has(kind, name)) "already in force; use 'change'" else null
    return Difference('+', kind, name, item.filterKeys { it != "name" }.map { (key, value) -> "$key: $value" }, problem)
}

private fun change(
    kind: String,
    name: String,
    item: JsonObject,
    current: ByKind,
): Difference? {
    val old = current.getValue(kind)[name] ?: return Difference('~', kind, name, problem = "not in force; use 'add'")
    val fields = item.filter { (key, value) -> old[key] != value }.map { (key, value) -> "$key: ${old[key]} -> $value" }
    return if (fields.isEmpty()) null else Difference('~', kind, name, fields)
}

private fun Configuration.byKind(): ByKind =
    Definitions(workspaces.values.toList(), classes.values.toList(), policies.values.toList()).byKind()

private fun Definitions.byKind(): ByKind =
    mapOf(
        WORKSPACE to workspaces.associate { it.name.value to fullJson.encodeToJsonElement(it).jsonObject },
        CLASS to classes.associate { it.name.value to fullJson.encodeToJsonElement(it).jsonObject },
        POLICY to policies.associate { it.name to fullJson.encodeToJsonElement(it).jsonObject },
    )
