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

/** Time during which a worker gets no new work; doubles with each refusal in a row. */
private data class Backoff(
    val untilMs: Long,
    val durationMs: Long,
)

/** The workers of one domain during one term. Claims each with the term's epoch before it sends any other command. */
internal class Fleet(
    private val upstreams: UpstreamDirectory,
    private val provider: WorkerClientProvider,
    private val guard: OwnershipGuard,
    private val clock: Clock,
    private val isOrphan: (WorkerLease) -> Boolean,
    private val onChange: () -> Unit,
) {
    private val claimed = HashMap<WorkerId, ClaimedWorker>()
    private val claimLocks = HashMap<WorkerId, Mutex>()
    private val nextClaimMs = HashMap<WorkerId, Long>()
    private val backoffs = HashMap<WorkerId, Backoff>()
    private val clients = HashMap<String, WorkerClient>()

    /** Status of every claimed worker at the time of its claim, in the order of their names. */
    val statuses: List<WorkerStatus> get() = claimed.values.map { it.status }.sortedBy { it.id.value }

    /** Whether every worker that the directory lists as live is claimed. */
    val isComplete: Boolean get() = listed().filter { it.state == UpstreamState.LIVE }.all { it.id in claimed }

    /** Claims workers as they appear, until the term ends. */
    suspend fun claimContinuously(scope: CoroutineScope) {
        while (true) {
            guard.awaitConfirmedOwnership()
            val present = listed().associateBy { it.id }
            claimed.keys.retainAll { it in present && present[it]?.state != UpstreamState.DEAD }
            for (upstream in present.values.filter(::isClaimDue)) {
                nextClaimMs[upstream.id] = clock.monotonicMs() + CLAIM_RETRY_MS
                scope.launch { ensureClaimed(upstream.id) }
            }
            delay(CLAIM_POLL_MS)
        }
    }

    private fun isClaimDue(upstream: Upstream): Boolean {
        val isMissing = upstream.state != UpstreamState.DEAD && upstream.id !in claimed
        return isMissing && clock.monotonicMs() >= (nextClaimMs[upstream.id] ?: 0)
    }

    /** Claims [worker] unless it is claimed, and returns its client; null when it is unknown or does not answer. */
    suspend fun ensureClaimed(worker: WorkerId): WorkerClient? {
        claimed[worker]?.let { return it.client }
        return claimLocks.getOrPut(worker) { Mutex() }.withLock { claimed[worker]?.client ?: claim(worker) }
    }

    private suspend fun claim(worker: WorkerId): WorkerClient? {
        val upstream = listed().find { it.id == worker } ?: return null
        val client = clients.getOrPut(upstream.baseUrl) { provider(upstream.baseUrl) }
        // An unconfirmed owner may only renew, which needs no claim, since a renewal carries the epoch.
        if (guard.requireCurrentTerm().state != OwnershipState.OWNER) return client
        return when (val result = client.claim(guard.fence)) {
            is ClaimResult.StaleEpoch -> guard.failSuperseded()
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

    // A lease that no row names comes from a start whose row was never committed or that was abandoned.
    private suspend fun stopOrphans(
        client: WorkerClient,
        status: WorkerStatus,
    ) {
        status.leases.filter(isOrphan).forEach {
            guard.awaitConfirmedOwnership()
            client.stop(guard.fence, it.leaseId)
        }
    }

    /** Whether new work may be placed on [upstream] now. */
    fun isUsable(upstream: Upstream): Boolean {
        val known = claimed[upstream.id] ?: return false
        val isLive = upstream.state == UpstreamState.LIVE && known.status.state == ListedInstance.STATE_LIVE
        return isLive && clock.monotonicMs() >= (backoffs[upstream.id]?.untilMs ?: 0)
    }

    /** Excludes [worker] from new work for a time that doubles with each refusal in a row. */
    fun backOff(worker: WorkerId) {
        val lastMs = backoffs[worker]?.durationMs ?: 0
        val durationMs = (lastMs * 2).coerceIn(MIN_BACKOFF_MS, MAX_BACKOFF_MS)
        backoffs[worker] = Backoff(clock.monotonicMs() + durationMs, durationMs)
    }

    /** Reports evidence to the directory, and drops the claim of an unreachable worker, which may have restarted. */
    fun report(
        worker: WorkerId,
        evidence: UpstreamEvidence,
    ) {
        upstreams.report(worker, evidence)
        when (evidence) {
            UpstreamEvidence.WORK_SUCCEEDED -> backoffs.remove(worker)
            UpstreamEvidence.UNREACHABLE -> claimed.remove(worker)
            else -> Unit
        }
    }

    /** The domain's workers as the directory lists them. */
    fun listed(): List<Upstream> = upstreams.snapshot().filter { it.dataCentre == guard.domain }

    /** Status of [worker] at the time of its claim, or null when it is not claimed. */
    fun statusOf(worker: WorkerId): WorkerStatus? = claimed[worker]?.status

    private companion object {
        const val CLAIM_POLL_MS = 100L
        const val CLAIM_RETRY_MS = 1_000L
        const val MIN_BACKOFF_MS = 2_000L
        const val MAX_BACKOFF_MS = 60_000L
    }
}
