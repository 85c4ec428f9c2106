package org.orioleferry.core.notes

import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.ReleaseNote

/**
 * Validates [note] against [configuration] and returns the configuration after it.
 *
 * A note with problems fails with [FailureCode.NOTE_INVALID]; the details map the path of each field to its problems.
 */
public fun applyNote(
    configuration: Configuration,
    note: ReleaseNote,
    limits: NoteLimits = NoteLimits(),
    capacity: CapacityCheck = UNLIMITED_CAPACITY,
): Outcome<Configuration> {
    val ownProblems = problemsOf(note, configuration, limits)
    val folded = foldNote(configuration, note)
    val problems = ownProblems + problemsOf(folded, note) + if (ownProblems.isEmpty()) capacity(folded) else emptyList()
    if (problems.isEmpty()) return Outcome.Success(folded)
    return Outcome.Failed(
        Failure(
            code = FailureCode.NOTE_INVALID,
            message = problems.joinToString("; ") { "${it.path}: ${it.message}" },
            isNotRun = true,
            details = problems.groupBy({ it.path }, { it.message }).mapValues { it.value.joinToString("; ") },
        ),
    )
}

/**
 * Applies a committed note to [configuration] without validation.
 *
 * The result depends on the two arguments alone, so every instance computes the same configuration, whatever its
 * settings or its view of the fleet.
 */
public fun foldNote(
    configuration: Configuration,
    note: ReleaseNote,
): Configuration =
    Configuration(
        version = configuration.version + 1,
        workspaces =
            configuration.workspaces +
                (note.add.workspaces + note.change.workspaces).associateBy { it.name } -
                note.withdraw.workspaces.toSet(),
        classes =
            configuration.classes +
                (note.add.classes + note.change.classes).associateBy { it.name } -
                note.withdraw.classes.toSet(),
        policies =
            configuration.policies +
                (note.add.policies + note.change.policies).associateBy { it.name } -
                note.withdraw.policies.toSet(),
    )
