package org.orioleferry.core.notes

import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Definitions
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.Policy
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.model.Workspace

/** Name of the policy of all data centres that no other policy names. */
public const val DEFAULT_POLICY: String = "default"

private const val MAX_URGENCY = 9
private const val MAX_NOTE_ID_LENGTH = 128
private const val MAX_ACCELERATORS = 1_000_000
private const val MAX_WEIGHT = 1_000_000

// The sum of floating-point floor shares may exceed 1 by a rounding error.
private const val SHARE_TOLERANCE = 1e-9

// Names are parts of row keys, in which a slash is the separator and therefore not allowed in a name.
private val NAME = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

/** Returns the problems of [note] itself and of the names that it adds, changes or withdraws in [configuration]. */
internal fun problemsOf(
    note: ReleaseNote,
    configuration: Configuration,
    limits: NoteLimits,
): List<NoteProblem> =
    buildList {
        if (note.noteId.isBlank() || note.noteId.length > MAX_NOTE_ID_LENGTH) {
            add(NoteProblem("noteId", "must have 1 to $MAX_NOTE_ID_LENGTH characters"))
        }
        val names = namesOf(note)
        if (names.all { it.isEmpty }) add(NoteProblem("add", "the note adds, changes and withdraws nothing"))
        addAll(names[0].problems("workspaces", configuration.workspaces.keys.mapTo(mutableSetOf()) { it.value }))
        addAll(names[1].problems("classes", configuration.classes.keys.mapTo(mutableSetOf()) { it.value }))
        addAll(names[2].problems("policies", configuration.policies.keys))
        addAll(problemsOf("add", note.add, limits))
        addAll(problemsOf("change", note.change, limits))
        note.withdraw.policies.indexOf(DEFAULT_POLICY).takeIf { it >= 0 }?.let { index ->
            add(NoteProblem("withdraw.policies[$index]", "the policy '$DEFAULT_POLICY' can be changed, not withdrawn"))
        }
    }

/** Returns conflicts between definitions in [folded], the configuration after [note]. */
internal fun problemsOf(
    folded: Configuration,
    note: ReleaseNote,
): List<NoteProblem> =
    buildList {
        val floors = folded.classes.values.sumOf { it.floorShare }
        if (floors > 1 + SHARE_TOLERANCE && !(note.add.classes + note.change.classes).isEmpty()) {
            add(NoteProblem("classes", "the sum of floorShare is $floors, expected at most 1"))
        }
        folded.policies.values
            .flatMap { policy -> policy.dataCentres.distinct().map { it to policy.name } }
            .groupBy({ it.first }, { it.second })
            .filterValues { it.size > 1 }
            .forEach { (dataCentre, policies) ->
                add(NoteProblem("policies", "data centre $dataCentre has several policies: ${policies.sorted()}"))
            }
    }

private class NamesOfKind(
    val added: List<String>,
    val changed: List<String>,
    val withdrawn: List<String>,
) {
    val isEmpty: Boolean get() = added.isEmpty() && changed.isEmpty() && withdrawn.isEmpty()

    fun problems(
        kind: String,
        known: Set<String>,
    ): List<NoteProblem> =
        buildList {
            val seen = mutableSetOf<String>()

            fun check(
                section: String,
                names: List<String>,
                problemOf: (String) -> String?,
            ) = names.forEachIndexed { index, name ->
                val path = if (section == "withdraw") "withdraw.$kind[$index]" else "$section.$kind[$index].name"
                if (!seen.add(name)) add(NoteProblem(path, "'$name' occurs twice in the note"))
                problemOf(name)?.let { add(NoteProblem(path, it)) }
            }
            check("add", added) { name ->
                when {
                    !NAME.matches(name) -> "'$name' is not a name, expected ${NAME.pattern}"
                    name in known -> "'$name' exists already"
                    else -> null
                }
            }
            check("change", changed) { "'$it' does not exist".takeIf { _ -> it !in known } }
            check("withdraw", withdrawn) { "'$it' does not exist".takeIf { _ -> it !in known } }
        }
}

private fun namesOf(note: ReleaseNote): List<NamesOfKind> {
    val (add, change, withdraw) = Triple(note.add, note.change, note.withdraw)
    return listOf(
        NamesOfKind(
            add.workspaces.map { it.name.value },
            change.workspaces.map { it.name.value },
            withdraw.workspaces.map { it.value },
        ),
        NamesOfKind(
            add.classes.map { it.name.value },
            change.classes.map { it.name.value },
            withdraw.classes.map { it.value },
        ),
        NamesOfKind(add.policies.map { it.name }, change.policies.map { it.name }, withdraw.policies),
    )
}

private fun problemsOf(
    section: String,
    definitions: Definitions,
    limits: NoteLimits,
): List<NoteProblem> =
    definitions.workspaces.flatMapIndexed { index, it -> problemsOf("$section.workspaces[$index]", it) } +
        definitions.classes.flatMapIndexed { index, it -> problemsOf("$section.classes[$index]", it, limits) } +
        definitions.policies.flatMapIndexed { index, it -> problemsOf("$section.policies[$index]", it) }

private fun problemsOf(
    path: String,
    workspace: Workspace,
): List<NoteProblem> =
    buildList {
        requireRange("$path.weight", workspace.weight, 1..MAX_WEIGHT)
        workspace.guarantees.forEachIndexed { index, guarantee ->
            requireName("$path.guarantees[$index].dataCentre", guarantee.dataCentre)
            requireRange("$path.guarantees[$index].count", guarantee.count, 1..MAX_ACCELERATORS)
            requireRange("$path.guarantees[$index].accelerators", guarantee.accelerators, 1..MAX_ACCELERATORS)
        }
        val guaranteed =
            workspace.guarantees
                .groupBy { it.dataCentre }
                .mapValues { (_, shapes) -> shapes.sumOf { it.count.toLong() * it.accelerators } }
        workspace.quotas.forEachIndexed { index, quota ->
            requireName("$path.quotas[$index].dataCentre", quota.dataCentre)
            requireRange("$path.quotas[$index].accelerators", quota.accelerators, 0..MAX_ACCELERATORS)
            if (workspace.quotas.take(index).any { it.dataCentre == quota.dataCentre }) {
                add(NoteProblem("$path.quotas[$index].dataCentre", "'${quota.dataCentre}' occurs twice"))
            }
            val minAccelerators = guaranteed[quota.dataCentre] ?: 0
            if (quota.accelerators < minAccelerators) {
                val text = "is ${quota.accelerators}, expected at least the $minAccelerators guaranteed accelerators"
                add(NoteProblem("$path.quotas[$index].accelerators", text))
            }
        }
    }

private fun problemsOf(
    path: String,
    jobClass: JobClass,
    limits: NoteLimits,
): List<NoteProblem> =
    buildList {
        requireRange("$path.urgency", jobClass.urgency, 0..MAX_URGENCY)
        requireRange("$path.weight", jobClass.weight, 1..MAX_WEIGHT)
        if (jobClass.deadlineMs !in 1..limits.maxDeadlineMs) {
            val text = "is ${jobClass.deadlineMs} ms, expected 1 to ${limits.maxDeadlineMs} ms (the drain limit)"
            add(NoteProblem("$path.deadlineMs", text))
        }
        // Written as a negation because comparisons with NaN are false.
        if (!(jobClass.floorShare >= 0.0 && jobClass.floorShare <= 1.0)) {
            add(NoteProblem("$path.floorShare", "is ${jobClass.floorShare}, expected 0 to 1"))
        }
    }

private fun problemsOf(
    path: String,
    policy: Policy,
): List<NoteProblem> =
    buildList {
        policy.dataCentres.forEachIndexed { index, it -> requireName("$path.dataCentres[$index]", it) }
        if (policy.name == DEFAULT_POLICY && policy.dataCentres.isNotEmpty()) {
            add(NoteProblem("$path.dataCentres", "the policy '$DEFAULT_POLICY' applies to every data centre"))
        }
        if (policy.name != DEFAULT_POLICY && policy.dataCentres.isEmpty()) {
            add(NoteProblem("$path.dataCentres", "a policy other than '$DEFAULT_POLICY' names its data centres"))
        }
    }

private fun MutableList<NoteProblem>.requireRange(
    path: String,
    value: Int,
    range: IntRange,
) {
    if (value !in range) add(NoteProblem(path, "is $value, expected ${range.first} to ${range.last}"))
}

private fun MutableList<NoteProblem>.requireName(
    path: String,
    dataCentre: DataCentre,
) {
    if (!NAME.matches(dataCentre.value)) {
        add(NoteProblem(path, "'$dataCentre' is not a name, expected ${NAME.pattern}"))
    }
}
