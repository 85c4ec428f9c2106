package org.orioleferry.coordination.notes

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.coordination.peer.Heartbeat
import org.orioleferry.coordination.peer.Notes
import org.orioleferry.coordination.peer.NotesRequest
import org.orioleferry.coordination.peer.PeerNetwork
import org.orioleferry.coordination.peer.ReceivedMessage
import org.orioleferry.core.Clock
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.InstanceVersion
import org.orioleferry.core.api.NoteAccepted
import org.orioleferry.core.api.NoteStatus
import org.orioleferry.core.event.EventSink
import org.orioleferry.core.event.EventType
import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.ReleaseNote
import org.orioleferry.core.notes.CapacityCheck
import org.orioleferry.core.notes.NoteLimits
import org.orioleferry.core.notes.UNLIMITED_CAPACITY
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableService
import kotlin.random.Random

/**
 * Times of the distribution of notes, in milliseconds.
 *
 * @property pullMs time between two reads of the head row, shortened at random by up to a tenth.
 * @property requestMs shortest time between two requests for missing notes to peers.
 * @property readinessMs time between two checks of whether the instance is ready.
 */
public data class NoteSettings(
    val pullMs: Long = 2_000,
    val requestMs: Long = 500,
    val readinessMs: Long = 100,
)

/** The other instances as seen by the distribution of notes. */
public interface NotePeers {
    /** Versions in force on the live peers; negative for a peer that has not established its version yet. */
    public fun versions(): List<InstanceVersion>

    /** Whether every candidate on the platform's list has sent a heartbeat or is considered dead. */
    public fun hasHeardFromAll(): Boolean
}

/** Identity of the instance for the status and the record of a note. */
public data class NoteInstance(
    val id: InstanceId,
    val dataCentre: DataCentre,
)

/**
 * Commits release notes and keeps the newest configuration in force on this instance.
 *
 * @param store a [org.orioleferry.coordination.store.CircuitBreakerTableService], which limits the calls in an outage.
 * @param capacity refuses guarantees that the live fleet does not hold; applies to commits on this instance only.
 */
public class NoteDistribution(
    private val self: NoteInstance,
    store: TableService,
    private val network: PeerNetwork,
    private val notePeers: NotePeers,
    private val clock: Clock,
    private val random: Random,
    private val settings: NoteSettings = NoteSettings(),
    limits: () -> NoteLimits = { NoteLimits() },
    capacity: CapacityCheck = UNLIMITED_CAPACITY,
    private val events: EventSink = { _, _ -> },
) {
    private val noteStore = NoteStore(store)
    private val chain = NoteChain()
    private val committer = NoteCommitter(self, noteStore, chain, clock, limits, capacity, ::pull, events)
    private val ready = MutableStateFlow(false)
    private val pullMutex = Mutex()

    @Volatile
    private var headVersion = 0L

    @Volatile
    private var lastRequestMs: Long? = null

    /** The configuration in force. Its version never decreases. */
    public val configuration: StateFlow<Configuration> = chain.configuration

    /**
     * Whether the configuration in force is established: read from the store, or, while the store is down, the
     * highest version of all peers that answer. Stays true.
     */
    public val isReady: StateFlow<Boolean> = ready.asStateFlow()

    /** Version for the heartbeats of this instance; negative until [isReady]. */
    public val heartbeatVersion: Long get() = if (ready.value) chain.version else NOT_ESTABLISHED

    /** Pulls notes from the store and exchanges them with the peers until cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch { network.messages.collect(::onMessage) }
            launch { awaitReadiness() }
            while (true) {
                pull()
                delay(settings.pullMs - random.nextLong(settings.pullMs / JITTER_DIVISOR + 1))
            }
        }

    /**
     * Validates and commits [note], and sends it to the peers.
     *
     * Fails with `NOTE_INVALID`, `NOTE_CONFLICT` (naming the winner), `STORE_UNAVAILABLE` (not committed) or
     * `OUTCOME_UNKNOWN` (ask again with the same note, which commits it at most once).
     */
    public suspend fun commit(note: ReleaseNote): Outcome<NoteAccepted> {
        val before = chain.version
        val outcome = committer.commit(note)
        val added = chain.notesAfter(before, MAX_NOTES).orEmpty().filter { it.note.noteId == note.noteId }
        if (added.isNotEmpty()) notePeers.versions().forEach { network.send(it.id, Notes(added)) }
        return outcome
    }

    /** The newest known version, and the version in force on each live instance. */
    public fun status(): NoteStatus {
        val own = InstanceVersion(self.id, self.dataCentre, chain.version)
        val peers = notePeers.versions().map { it.copy(version = maxOf(it.version, 0)) }
        val all = (peers + own).sortedBy { it.id.value }
        return NoteStatus(maxOf(headVersion, all.maxOf { it.version }), all)
    }

    /** At most [limit] notes after version [after], in version order. */
    public suspend fun history(
        after: Long = 0,
        limit: Int = MAX_NOTES,
    ): Outcome<List<CommittedNote>> {
        chain.notesAfter(after, limit)?.let { return Outcome.Success(it) }
        return when (val result = noteStore.notesAfter(after, limit)) {
            is ReadResult.Found -> Outcome.Success(result.value)
            is ReadResult.Unavailable -> Outcome.Failed(storeUnavailable(result.reason))
        }
    }

    /** Appends the notes up to the head row's version. False when the store does not answer or the chain breaks. */
    private suspend fun pull(): Boolean =
        pullMutex.withLock {
            val result = noteStore.head()
            if (result !is ReadResult.Found) return false
            val head = result.value.head.version
            headVersion = maxOf(headVersion, head)
            if (head - chain.version > MAX_NOTES) {
                val snapshot = noteStore.snapshot()
                if (snapshot is ReadResult.Found) snapshot.value?.let(::install)
            }
            while (chain.version < head) {
                val notes = noteStore.notesAfter(chain.version, MAX_NOTES)
                if (notes !is ReadResult.Found || append(notes.value) == 0) return false
            }
            ready.value = true
            true
        }

    private fun append(notes: List<CommittedNote>): Int {
        val added = chain.append(notes)
        added.forEach { events(EventType.NOTE_IN_FORCE, noteAttributes(it.note.noteId, it.version)) }
        return added.size
    }

    private fun install(snapshot: NoteSnapshot) {
        val version = snapshot.configuration.version
        if (chain.install(snapshot)) events(EventType.NOTE_IN_FORCE, mapOf("version" to version.toString()))
    }

    private fun onMessage(received: ReceivedMessage) {
        when (val message = received.message) {
            is Heartbeat -> requestMissing(received.from, message.noteVersion)
            is NotesRequest -> sendNotes(received.from, message.after)
            is Notes -> {
                val snapshot = message.snapshot
                if (snapshot != null) install(NoteSnapshot(snapshot, message.snapshotDigest))
                append(message.notes)
                val last = message.notes.lastOrNull()?.version ?: 0
                // A full batch may be followed by more; a gap means that a push overtook earlier notes.
                if (message.notes.size >= MAX_NOTES || last > chain.version) requestMissing(received.from, last + 1)
            }
            else -> Unit
        }
    }

    private fun requestMissing(
        peer: InstanceId,
        version: Long,
    ) {
        val now = clock.monotonicMs()
        val isDue = lastRequestMs.let { it == null || now - it >= settings.requestMs }
        if (version <= chain.version || !isDue) return
        if (network.send(peer, NotesRequest(chain.version))) lastRequestMs = now
    }

    private fun sendNotes(
        peer: InstanceId,
        after: Long,
    ) {
        if (after >= chain.version) return
        // A batch longer than the maximum frame is not queued, so smaller batches are tried.
        var limit = MAX_NOTES
        while (limit > 0 && !network.send(peer, chain.messageFor(after, limit))) limit /= 2
    }

    private suspend fun awaitReadiness() {
        while (!ready.value) {
            delay(settings.readinessMs)
            val established = notePeers.versions().filter { it.version >= 0 }
            val isNewest = established.isNotEmpty() && established.all { it.version <= chain.version }
            if (isNewest && notePeers.hasHeardFromAll()) ready.value = true
        }
    }

    private companion object {
        const val NOT_ESTABLISHED = -1L
        const val MAX_NOTES = 64
        const val JITTER_DIVISOR = 10
    }
}
