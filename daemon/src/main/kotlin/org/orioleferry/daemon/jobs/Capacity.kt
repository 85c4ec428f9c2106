package org.orioleferry.daemon.jobs

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerStatus

/** Capacity of one worker, as the owner of its domain read it from the worker. */
@Serializable
internal data class WorkerCapacity(
    val id: WorkerId,
    val rack: String,
    val accelerators: Int,
    val slots: Int,
) {
    fun toPlacementWorker(): PlacementWorker = PlacementWorker(id, rack, accelerators)
}

/** Stored capacity of a domain, from which every instance refuses jobs that can never fit. */
@Serializable
internal data class CapacityRow(
    val workers: List<WorkerCapacity>,
)

private val capacityJson = Json { ignoreUnknownKeys = true }

/** Reads the published capacity of [domain]; null when no owner has published one. */
internal suspend fun TableService.readCapacity(domain: DataCentre): ReadResult<CapacityRow?> =
    when (val result = read(JobRows.TABLE, JobRows.capacityKey(domain))) {
        is ReadResult.Unavailable -> result
        is ReadResult.Found -> ReadResult.Found(result.value?.let { capacityJson.decodeFromString(it.value) })
    }

/** Publishes the capacity of the owner's domain when it changes. A worker counts until the directory removes it. */
internal class CapacityPublisher(
    private val tables: TableService,
    private val guard: OwnershipGuard,
    private val fleet: Fleet,
) {
    private val known = HashMap<WorkerId, WorkerCapacity>()
    private var published: CapacityRow? = null
    private var isLoaded = false

    /** Capacity of all known workers, or null until that of every live worker is known. */
    val completeOrNull: List<WorkerCapacity>? get() = known.values.sortedBy { it.id.value }.takeIf { isComplete() }

    /** Updates the capacity from the claimed workers and commits the row when it has changed. */
    suspend fun refresh() {
        if (!isLoaded) load()
        fleet.statuses.forEach { known[it.id] = it.toCapacity() }
        val listed = fleet.listed().mapTo(HashSet()) { it.id }
        known.keys.retainAll(listed)
        val row = CapacityRow(completeOrNull ?: return)
        if (row == published) return
        val ownership = guard.awaitConfirmedOwnership()
        val value = capacityJson.encodeToString(CapacityRow.serializer(), row)
        val write = TableOperation(JobRows.TABLE, JobRows.capacityKey(guard.domain), expected = null, value = value)
        val result = tables.commit(listOf(write, ownership.toFenceCheck()))
        if (result is CommitResult.Committed) published = row
    }

    private suspend fun load() {
        val found = tables.readCapacity(guard.domain) as? ReadResult.Found ?: return
        isLoaded = true
        published = found.value
        found.value?.workers?.forEach { known.putIfAbsent(it.id, it) }
    }

    private fun isComplete(): Boolean =
        isLoaded && fleet.listed().filter { it.state == UpstreamState.LIVE }.all { it.id in known }

    private fun WorkerStatus.toCapacity() = WorkerCapacity(id, rack, accelerators, slots)
}
