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
 * Checks the guarantees of release notes (submitted changes of the configuration) against the live fleet.
 *
 * [admit] reads the fleets and commits the note; the commit has to refuse the note when [problems] reports any.
 *
 * Only a note that adds or changes workspaces is checked: after the loss of a rack, operators still have to be able to
 * change everything else.
 */
internal class NoteAdmission {
    private val commitMutex = Mutex()
    private var fleets: Map<DataCentre, List<PlacementWorker>> = emptyMap()

    /**
     * Calls [commit], for one note at a time. When [note] adds or changes workspaces, first reads the fleets with
     * [readFleets]; when that read fails, returns its failure without calling [commit].
     */
    suspend fun admit(
        note: ReleaseNote,
        readFleets: suspend () -> Outcome<Map<DataCentre, List<PlacementWorker>>>,
        commit: suspend (ReleaseNote) -> Outcome<NoteAccepted>,
    ): Outcome<NoteAccepted> =
        commitMutex.withLock {
            val addsOrChangesWorkspaces = note.add.workspaces.isNotEmpty() || note.change.workspaces.isNotEmpty()
            when (val read = if (addsOrChangesWorkspaces) readFleets() else Outcome.Success(emptyMap())) {
                is Outcome.Failed -> read
                is Outcome.Success -> {
                    fleets = read.value
                    commit(note)
                }
            }
        }

    /**
     * Guarantees of [configuration] that the fleets read for the note being admitted cannot satisfy. Empty when the
     * note adds or changes no workspaces, since no fleet is read for it.
     */
    fun problems(configuration: Configuration): List<NoteProblem> =
        excessiveGuarantees(configuration, fleets).map { NoteProblem("workspaces.guarantees", it.toString()) }
}
