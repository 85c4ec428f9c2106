package org.orioleferry.coordination.notes

import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.core.Clock
import org.orioleferry.core.Failure
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.notes.CapacityCheck
import org.orioleferry.core.notes.NoteLimits
import org.orioleferry.core.notes.applyNote
import org.orioleferry.platform.ReadResult

/** Notes between two snapshots of the configuration in the store, so that a new instance reads few rows. */
internal const val SNAPSHOT_PERIOD_NOTES: Long = 64

private const val RETRY_AFTER_MS = 1_000L

/** Commits release notes, one at a time on this instance. */
internal class NoteCommitter(
    private val self: NoteInstance,
    private val noteStore: NoteStore,
    private val chain: NoteChain,
    private val clock: Clock,
    private val limits: () -> NoteLimits,
    private val capacity: CapacityCheck,
    private val pull: suspend () -> Boolean,
    private val events: EventSink,
) {
    private val lock = Mutex()

    suspend fun commit(note: ReleaseNote): Outcome<NoteAccepted> = lock.withLock { commitNext(note) }

    private suspend fun commitNext(note: ReleaseNote): Outcome<NoteAccepted> {
        if (!pull()) return Outcome.Failed(storeUnavailable("the notes cannot be read"))
        earlierOutcome(note)?.let { return it }
        val head =
            when (val result = noteStore.head()) {
                is ReadResult.Unavailable -> return Outcome.Failed(storeUnavailable(result.reason))
                is ReadResult.Found -> result.value
            }
        val base = chain.snapshot()
        val isStale = note.baseVersion != null && note.baseVersion != head.head.version
        if (isStale || head.head.version != base.configuration.version) return conflictFailure(note, head.head)
        return when (val applied = applyNote(base.configuration, note, limits(), capacity)) {
            is Outcome.Failed -> applied
            is Outcome.Success -> write(note, base, applied.value, head.rowVersion)
        }
    }

    private suspend fun write(
        note: ReleaseNote,
        base: NoteSnapshot,
        after: Configuration,
        headRowVersion: Long,
    ): Outcome<NoteAccepted> {
        val content = NoteDigest.ofContent(note)
        val digest = NoteDigest.ofChain(base.digest, after.version, content)
        val committed = CommittedNote(after.version, note, content, digest, self.id, clock.wallMs())
        val snapshot = NoteSnapshot(after, digest).takeIf { after.version % SNAPSHOT_PERIOD_NOTES == 0L }
        return when (val result = noteStore.write(committed, headRowVersion, snapshot)) {
            NoteWrite.Committed -> {
                events(EventType.NOTE_COMMITTED, noteAttributes(note.noteId, after.version))
                chain.append(listOf(committed)).forEach {
                    events(EventType.NOTE_IN_FORCE, noteAttributes(it.note.noteId, it.version))
                }
                Outcome.Success(NoteAccepted(after.version))
            }
            is NoteWrite.Conflicted -> resolveConflict(note, result.winner)
            is NoteWrite.Unavailable -> Outcome.Failed(storeUnavailable(result.reason))
            is NoteWrite.Unknown -> Outcome.Failed(outcomeUnknown(note, result.reason))
        }
    }

    /** The outcome of [note] when its identifier was committed before, else null. */
    private suspend fun earlierOutcome(note: ReleaseNote): Outcome<NoteAccepted>? {
        val index =
            when (val result = noteStore.index(note.noteId)) {
                is ReadResult.Unavailable -> return Outcome.Failed(storeUnavailable(result.reason))
                is ReadResult.Found -> result.value ?: return null
            }
        if (index.contentDigest == NoteDigest.ofContent(note)) {
            return Outcome.Success(NoteAccepted(index.version, alreadyApplied = true))
        }
        val text = "'${note.noteId}' was used for another note, version ${index.version}"
        return Outcome.Failed(
            Failure(FailureCode.NOTE_INVALID, text, isNotRun = true, details = mapOf("noteId" to text)),
        )
    }

    private suspend fun resolveConflict(
        note: ReleaseNote,
        winner: NoteHead?,
    ): Outcome<NoteAccepted> {
        pull()
        // The winner may be this same note, committed through another instance.
        return earlierOutcome(note) ?: conflictFailure(note, winner ?: NoteHead())
    }

    private fun conflictFailure(
        note: ReleaseNote,
        winner: NoteHead,
    ): Outcome<NoteAccepted> {
        val details = mapOf("winner" to winner.noteId, "version" to winner.version.toString())
        events(EventType.NOTE_CONFLICT, noteAttributes(note.noteId, winner.version) + details)
        val text = "note '${note.noteId}' lost against note '${winner.noteId}', version ${winner.version}"
        return Outcome.Failed(Failure(FailureCode.NOTE_CONFLICT, text, isNotRun = true, details = details))
    }

    private fun outcomeUnknown(
        note: ReleaseNote,
        reason: String,
    ) = Failure(
        FailureCode.OUTCOME_UNKNOWN,
        "whether note '${note.noteId}' was committed is unknown: $reason; apply the same note again",
        isNotRun = false,
        retryAfterMs = RETRY_AFTER_MS,
        details = mapOf("noteId" to note.noteId),
    )
}

internal fun storeUnavailable(reason: String): Failure =
    Failure(FailureCode.STORE_UNAVAILABLE, reason, isNotRun = true, retryAfterMs = RETRY_AFTER_MS)

internal fun noteAttributes(
    noteId: String,
    version: Long,
): Map<String, String> = mapOf("note" to noteId, "version" to version.toString())
