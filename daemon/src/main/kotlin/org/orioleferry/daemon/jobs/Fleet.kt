package org.orioleferry.daemon.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.Clock
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerClientProvider
import org.orioleferry.platform.WorkerLease
import org.orioleferry.platform.WorkerStatus

/** A worker that was claimed with the epoch of the term. */
private class ClaimedWorker(
    val client: WorkerClient,
    val status: WorkerStatus,
)

/** A time during which a worker gets no new work, which doubles with each refusal in a row. */
private data class Avoidance(
    val untilMs: Long,
    val lengthMs: Long,
)

/** The workers of one domain during one term: claims each with the term's epoch before any other command goes there. */
internal class Fleet(
    private val upstreams: UpstreamDirectory,
    private val provider: WorkerClientProvider,
    private val authority: Authority,
    private val clock: Clock,
    private val isOrphan: (WorkerLease) -> Boolean,
    private val onChange: () -> Unit,
) {
    private val claimed = HashMap<WorkerId, ClaimedWorker>()
    private val claiming = HashMap<WorkerId, Mutex>()
    private val nextTryMs = HashMap<WorkerId, Long>()
    private val avoided = HashMap<WorkerId, Avoidance>()
    private val clients = HashMap<String, WorkerClient>()

    /** Status of every claimed worker at the time of its claim, in the order of their names. */
    val statuses: List<WorkerStatus> get() = claimed.values.map { it.status }.sortedBy { it.id.value }

    /** Whether every worker that is believed to be alive was claimed. */
    val isComplete: Boolean get() = listed().filter { it.state == UpstreamState.LIVE }.all { it.id in claimed }

    /** Claims workers as they appear, until the term ends. */
    suspend fun keepClaimed(scope: CoroutineScope) {
        while (true) {
            authority.awaitOwner()
            val present = listed().associateBy { it.id }
            claimed.keys.retainAll { it in present && present[it]?.state != UpstreamState.DEAD }
            for (upstream in present.values.filter(::isClaimDue)) {
                nextTryMs[upstream.id] = clock.monotonicMs() + CLAIM_RETRY_MS
                scope.launch { claimedClient(upstream.id) }
            }
            delay(CLAIM_POLL_MS)
        }
    }

    private fun isClaimDue(upstream: Upstream): Boolean {
        val isMissing = upstream.state != UpstreamState.DEAD && upstream.id !in claimed
        return isMissing && clock.monotonicMs() >= (nextTryMs[upstream.id] ?: 0)
    }

    /** A client for [worker] once it is claimed; null when the worker is unknown or does not answer. */
    suspend fun claimedClient(worker: WorkerId): WorkerClient? {
        claimed[worker]?.let { return it.client }
        return claiming.getOrPut(worker) { Mutex() }.withLock { claimed[worker]?.client ?: claim(worker) }
    }

    private suspend fun claim(worker: WorkerId): WorkerClient? {
        val upstream = listed().find { it.id == worker } ?: return null
        val client = clients.getOrPut(upstream.baseUrl) { provider(upstream.baseUrl) }
        // An unconfirmed owner may only renew, and a renewal carries the epoch itself.
        if (authority.requireTerm().state != OwnershipState.OWNER) return client
        return when (val result = client.claim(authority.fence)) {
            is ClaimResult.StaleEpoch -> authority.depose()
            is ClaimResult.Unavailable -> null.also { report(worker, UpstreamEvidence.UNREACHABLE) }
            is ClaimResult.Claimed -> {
                report(worker, UpstreamEvidence.ANSWERED)
                if (result.status.state == ListedInstance.STATE_LEAVING) report(worker, UpstreamEvidence.LEAVING)
                claimed[worker] = ClaimedWorker(client, result.status)
                stopOrphans(client, result.status)
                onChange()
                client
            }
        }
    }

    // A lease that no row names was left by a start whose row was never committed or was given up.
    private suspend fun stopOrphans(
        client: WorkerClient,
        status: WorkerStatus,
    ) {
        status.leases.filter(isOrphan).forEach {
            authority.awaitOwner()
            client.stop(authority.fence, it.leaseId)
        }
    }

    /** Whether new work may go to [worker] now. */
    fun isUsable(upstream: Upstream): Boolean {
        val known = claimed[upstream.id] ?: return false
        val isLive = upstream.state == UpstreamState.LIVE && known.status.state == ListedInstance.STATE_LIVE
        return isLive && clock.monotonicMs() >= (avoided[upstream.id]?.untilMs ?: 0)
    }

    /** Keeps new work from [worker] for a while that doubles with each refusal in a row. */
    fun avoid(worker: WorkerId) {
        val lastMs = avoided[worker]?.lengthMs ?: 0
        val lengthMs = (lastMs * 2).coerceIn(SHORTEST_AVOID_MS, LONGEST_AVOID_MS)
        avoided[worker] = Avoidance(clock.monotonicMs() + lengthMs, lengthMs)
    }

    /** Passes evidence on to the directory, and claims a worker again that may have restarted. */
    fun report(
        worker: WorkerId,
        evidence: UpstreamEvidence,
    ) {
        upstreams.report(worker, evidence)
        when (evidence) {
            UpstreamEvidence.WORK_SUCCEEDED -> avoided.remove(worker)
            UpstreamEvidence.UNREACHABLE -> claimed.remove(worker)
            else -> Unit
        }
    }

    /** The domain's workers in the directory. */
    fun listed(): List<Upstream> = upstreams.snapshot().filter { it.dataCentre == authority.domain }

    /** The claimed capacity of [worker], or null. */
    fun statusOf(worker: WorkerId): WorkerStatus? = claimed[worker]?.status

    private companion object {
        const val CLAIM_POLL_MS = 100L
        const val CLAIM_RETRY_MS = 1_000L
        const val SHORTEST_AVOID_MS = 2_000L
        const val LONGEST_AVOID_MS = 60_000L
    }
}
