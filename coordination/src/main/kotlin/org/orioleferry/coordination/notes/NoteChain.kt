package org.orioleferry.coordination.notes

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.orioleferry.coordination.peer.Notes
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.notes.foldNote
import java.security.MessageDigest

/** A configuration with the digest of the chain of notes that leads to it. */
@Serializable
internal data class NoteSnapshot(
    val configuration: Configuration,
    val digest: String,
)

/** Digests of notes and chains. */
internal object NoteDigest {
    // Default values are left out, so that a field added by a later release does not change the digest of older notes.
    private val format = Json { encodeDefaults = false }

    fun ofContent(note: ReleaseNote): String = sha256(format.encodeToString(ReleaseNote.serializer(), note))

    fun ofChain(
        previous: String,
        version: Long,
        contentDigest: String,
    ): String = sha256("$previous/$version/$contentDigest")

    private fun sha256(text: String): String =
        MessageDigest
            .getInstance("SHA-256")
            .digest(text.toByteArray())
            .joinToString("") { "%02x".format(it) }
}

/** The chain of notes known to this instance, folded into a configuration. Its version never decreases. */
internal class NoteChain {
    private val lock = Any()
    private val recent = ArrayDeque<CommittedNote>()
    private var digest = ""
    private val inForce = MutableStateFlow(Configuration())

    val configuration: StateFlow<Configuration> = inForce.asStateFlow()
    val version: Long get() = inForce.value.version

    fun snapshot(): NoteSnapshot = synchronized(lock) { NoteSnapshot(inForce.value, digest) }

    /**
     * Appends the notes that follow the current version and returns them.
     *
     * Stops at a note that does not continue the chain, which follows a gap or comes from another store.
     */
    fun append(notes: List<CommittedNote>): List<CommittedNote> =
        synchronized(lock) {
            val added = mutableListOf<CommittedNote>()
            for (note in notes.sortedBy { it.version }) {
                if (note.version <= version) continue
                val expected = NoteDigest.ofChain(digest, version + 1, note.contentDigest)
                if (note.version != version + 1 || note.digest != expected) break
                digest = note.digest
                recent += note
                if (recent.size > RETAINED_NOTES) recent.removeFirst()
                inForce.value = foldNote(inForce.value, note.note)
                added += note
            }
            added
        }

    /** Replaces the configuration by [snapshot] when that is newer, and returns whether it was. */
    fun install(snapshot: NoteSnapshot): Boolean =
        synchronized(lock) {
            if (snapshot.configuration.version <= version) return false
            recent.clear()
            digest = snapshot.digest
            inForce.value = snapshot.configuration
            true
        }

    /** At most [limit] notes that follow [after], or null when not all of them are retained. */
    fun notesAfter(
        after: Long,
        limit: Int,
    ): List<CommittedNote>? =
        synchronized(lock) {
            val firstRetained = recent.firstOrNull()?.version ?: (version + 1)
            if (after + 1 < firstRetained) return null
            recent.filter { it.version > after }.take(limit)
        }

    /** The message for a peer at version [after]: the next notes, or the configuration when they are not retained. */
    fun messageFor(
        after: Long,
        limit: Int,
    ): Notes =
        synchronized(lock) {
            val notes = notesAfter(after, limit)
            if (notes == null) Notes(emptyList(), inForce.value, digest) else Notes(notes)
        }

    private companion object {
        // At the design rate of 2,900 notes a day, a peer that was disconnected for two hours still gets single notes.
        const val RETAINED_NOTES = 256
    }
}
