package org.orioleferry.daemon.notes

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.guarantee.excessiveGuarantees
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.notes.NoteProblem
import org.orioleferry.core.placement.PlacementWorker

/**
 * Refuses release notes whose guarantees the live fleet cannot satisfy.
 *
 * Only a note that adds or changes workspaces is checked: after the loss of a rack, operators still have to be able to
 * change everything else.
 */
internal class NoteAdmission {
    private val commitMutex = Mutex()
    private var fleets: Map<DataCentre, List<PlacementWorker>> = emptyMap()

    /** Reads the fleets with [readFleets] when [note] concerns guarantees, then calls [commit]. */
    suspend fun admit(
        note: ReleaseNote,
        readFleets: suspend () -> Outcome<Map<DataCentre, List<PlacementWorker>>>,
        commit: suspend (ReleaseNote) -> Outcome<NoteAccepted>,
    ): Outcome<NoteAccepted> =
        commitMutex.withLock {
            val hasWorkspaces = note.add.workspaces.isNotEmpty() || note.change.workspaces.isNotEmpty()
            when (val read = if (hasWorkspaces) readFleets() else Outcome.Success(emptyMap())) {
                is Outcome.Failed -> read
                is Outcome.Success -> {
                    fleets = read.value
                    commit(note)
                }
            }
        }

    /** Guarantees of [configuration] that the fleets read last cannot satisfy. */
    fun problems(configuration: Configuration): List<NoteProblem> =
        excessiveGuarantees(configuration, fleets).map { NoteProblem("workspaces.guarantees", it.toString()) }
}
