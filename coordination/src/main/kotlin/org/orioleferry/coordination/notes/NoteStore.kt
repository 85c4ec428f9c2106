package org.orioleferry.coordination.notes

import kotlinx.coroutines.delay
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.Row
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService

/** Value of the row `head`. */
@Serializable
internal data class NoteHead(
    val version: Long = 0,
    val digest: String = "",
    val noteId: String = "",
)

/** Value of the row `id/<noteId>`, which identifies a repeat of an old note without all notes in memory. */
@Serializable
internal data class NoteIndex(
    val version: Long,
    val contentDigest: String,
)

/** A head with the version of its row; 0 when there is none yet. */
internal data class HeadRow(
    val head: NoteHead,
    val rowVersion: Long,
)

/** Result of writing a note. */
internal sealed interface NoteWrite {
    /** The note is committed, by this call or by an earlier attempt of it. */
    data object Committed : NoteWrite

    /** The note was not written, since a row had changed. [winner] is the head that was written instead, when known. */
    data class Conflicted(
        val winner: NoteHead?,
    ) : NoteWrite

    /** The note was not written. */
    data class Unavailable(
        val reason: String,
    ) : NoteWrite

    /** The note may have been written. */
    data class Unknown(
        val reason: String,
    ) : NoteWrite
}

/** Rows of the table `notes`. */
internal class NoteStore(
    private val store: TableService,
) {
    suspend fun head(): ReadResult<HeadRow> =
        when (val result = store.read(TABLE, HEAD_KEY)) {
            is ReadResult.Unavailable -> result
            is ReadResult.Found -> {
                val row = result.value
                if (row == null) {
                    ReadResult.Found(HeadRow(NoteHead(), 0))
                } else {
                    decode(row, NoteHead.serializer()).map { HeadRow(it, row.version) }
                }
            }
        }

    /** The record of a note identifier, or null when no note of it was committed. */
    suspend fun index(noteId: String): ReadResult<NoteIndex?> = readOrNull(indexKey(noteId), NoteIndex.serializer())

    suspend fun snapshot(): ReadResult<NoteSnapshot?> = readOrNull(SNAPSHOT_KEY, NoteSnapshot.serializer())

    /** At most [limit] notes after version [after]. */
    suspend fun notesAfter(
        after: Long,
        limit: Int,
    ): ReadResult<List<CommittedNote>> =
        when (val result = store.scan(TABLE, NOTE_PREFIX, noteKey(after), limit)) {
            is ReadResult.Unavailable -> result
            is ReadResult.Found -> {
                val notes = result.value.map { decode(it, CommittedNote.serializer()) }
                val invalid = notes.filterIsInstance<ReadResult.Unavailable>().firstOrNull()
                invalid ?: ReadResult.Found(notes.filterIsInstance<ReadResult.Found<CommittedNote>>().map { it.value })
            }
        }

    /**
     * Writes [note] in one transaction with the head, provided that the head row still has [headRowVersion].
     *
     * After a lost answer the same transaction is sent again: all attempts expect the same row versions, so that at
     * most one takes effect, and the index row then shows whether one did.
     */
    suspend fun write(
        note: CommittedNote,
        headRowVersion: Long,
        snapshot: NoteSnapshot?,
    ): NoteWrite {
        val operations = operations(note, headRowVersion, snapshot)
        var mayHaveWritten = false
        var reason = ""
        repeat(WRITE_ATTEMPTS) { attempt ->
            if (attempt > 0) delay(WRITE_RETRY_MS)
            when (val result = store.commit(operations)) {
                is CommitResult.Committed -> return NoteWrite.Committed
                is CommitResult.Conflicted -> {
                    val conflicted = NoteWrite.Conflicted(winnerOf(result))
                    return if (mayHaveWritten) readBack(note, conflicted) else conflicted
                }
                is CommitResult.Unavailable -> {
                    if (!mayHaveWritten) return NoteWrite.Unavailable(result.reason)
                    reason = result.reason
                }
                is CommitResult.Unknown -> {
                    mayHaveWritten = true
                    reason = result.reason
                }
            }
        }
        return readBack(note, NoteWrite.Unknown(reason))
    }

    /** Reads the index row: committed when it holds [note], unknown when it cannot be read, else [otherwise]. */
    private suspend fun readBack(
        note: CommittedNote,
        otherwise: NoteWrite,
    ): NoteWrite =
        when (val result = index(note.note.noteId)) {
            is ReadResult.Unavailable -> NoteWrite.Unknown(result.reason)
            is ReadResult.Found -> {
                val index = result.value
                val isThisNote = index?.version == note.version && index.contentDigest == note.contentDigest
                if (isThisNote) NoteWrite.Committed else otherwise
            }
        }

    private fun winnerOf(result: CommitResult.Conflicted): NoteHead? {
        val head = result.conflicts.firstOrNull { it.index == HEAD_OPERATION }?.value ?: return null
        val decoded = decode(Row(HEAD_KEY, head, 0), NoteHead.serializer())
        return (decoded as? ReadResult.Found)?.value
    }

    private fun operations(
        note: CommittedNote,
        headRowVersion: Long,
        snapshot: NoteSnapshot?,
    ): List<TableOperation> {
        val head = NoteHead(note.version, note.digest, note.note.noteId)
        val index = NoteIndex(note.version, note.contentDigest)
        return listOfNotNull(
            TableOperation(TABLE, HEAD_KEY, headRowVersion, format.encodeToString(NoteHead.serializer(), head)),
            TableOperation(TABLE, noteKey(note.version), 0, format.encodeToString(CommittedNote.serializer(), note)),
            TableOperation(TABLE, indexKey(note.note.noteId), 0, format.encodeToString(NoteIndex.serializer(), index)),
            snapshot?.let {
                TableOperation(TABLE, SNAPSHOT_KEY, null, format.encodeToString(NoteSnapshot.serializer(), it))
            },
        )
    }

    private suspend fun <T : Any> readOrNull(
        key: String,
        serializer: KSerializer<T>,
    ): ReadResult<T?> =
        when (val result = store.read(TABLE, key)) {
            is ReadResult.Unavailable -> result
            is ReadResult.Found -> result.value?.let { decode(it, serializer) } ?: ReadResult.Found(null)
        }

    private fun <T> decode(
        row: Row,
        serializer: KSerializer<T>,
    ): ReadResult<T> =
        try {
            ReadResult.Found(format.decodeFromString(serializer, row.value))
        } catch (failure: SerializationException) {
            ReadResult.Unavailable("row ${row.key} of table $TABLE is malformed: ${failure.message}")
        }

    private fun <T, R> ReadResult<T>.map(transform: (T) -> R): ReadResult<R> =
        when (this) {
            is ReadResult.Found -> ReadResult.Found(transform(value))
            is ReadResult.Unavailable -> this
        }

    private companion object {
        const val TABLE = "notes"
        const val HEAD_KEY = "head"
        const val SNAPSHOT_KEY = "snapshot"

        // Keys of notes are versions of ten digits, and the first digit is 0 below a billion notes.
        const val NOTE_PREFIX = "0"
        const val HEAD_OPERATION = 0
        const val WRITE_ATTEMPTS = 4
        const val WRITE_RETRY_MS = 250L

        val format = Json { ignoreUnknownKeys = true }

        fun noteKey(version: Long) = "%010d".format(version)

        fun indexKey(noteId: String) = "id/$noteId"
    }
}
