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

/** Size of one worker, as its domain's owner learned it. */
@Serializable
internal data class WorkerCapacity(
    val id: WorkerId,
    val rack: String,
    val accelerators: Int,
    val slots: Int,
) {
    fun toPlacementWorker(): PlacementWorker = PlacementWorker(id, rack, accelerators)
}

/** The row of a domain's capacity, by which every instance refuses jobs that can never fit. */
@Serializable
internal data class CapacityRow(
    val workers: List<WorkerCapacity>,
)

private val capacityJson = Json { ignoreUnknownKeys = true }

/** The published capacity of [domain], or null when no owner has published one. */
internal suspend fun TableService.readCapacity(domain: DataCentre): ReadResult<CapacityRow?> =
    when (val result = read(JobRows.TABLE, JobRows.capacityKey(domain))) {
        is ReadResult.Unavailable -> result
        is ReadResult.Found -> ReadResult.Found(result.value?.let { capacityJson.decodeFromString(it.value) })
    }

/** Publishes the capacity of the owner's domain whenever it changes. A worker counts until the directory drops it. */
internal class CapacityPublisher(
    private val tables: TableService,
    private val authority: Authority,
    private val fleet: Fleet,
) {
    private val known = HashMap<WorkerId, WorkerCapacity>()
    private var published: CapacityRow? = null
    private var isLoaded = false

    /** All workers that count, or null while some have not been reached yet. */
    val complete: List<WorkerCapacity>? get() = known.values.sortedBy { it.id.value }.takeIf { isComplete() }

    /** Learns from the claimed workers and writes the row when it has changed. */
    suspend fun refresh() {
        if (!isLoaded) load()
        fleet.statuses.forEach { known[it.id] = it.toCapacity() }
        val listed = fleet.listed().mapTo(HashSet()) { it.id }
        known.keys.retainAll(listed)
        val row = CapacityRow(complete ?: return)
        if (row == published) return
        val ownership = authority.awaitOwner()
        val value = capacityJson.encodeToString(CapacityRow.serializer(), row)
        val write = TableOperation(JobRows.TABLE, JobRows.capacityKey(authority.domain), expected = null, value = value)
        val result = tables.commit(listOf(write, ownership.toFenceCheck()))
        if (result is CommitResult.Committed) published = row
    }

    private suspend fun load() {
        val found = tables.readCapacity(authority.domain) as? ReadResult.Found ?: return
        isLoaded = true
        published = found.value
        found.value?.workers?.forEach { known.putIfAbsent(it.id, it) }
    }

    private fun isComplete(): Boolean =
        isLoaded && fleet.listed().filter { it.state == UpstreamState.LIVE }.all { it.id in known }

    private fun WorkerStatus.toCapacity() = WorkerCapacity(id, rack, accelerators, slots)
}
