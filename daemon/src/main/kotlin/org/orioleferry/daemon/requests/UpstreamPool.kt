package org.orioleferry.daemon.requests

import org.orioleferry.coordination.limits.ConcurrencyLimiter
import org.orioleferry.coordination.limits.FailureBackoff
import org.orioleferry.coordination.limits.LimitSignal
import org.orioleferry.coordination.limits.RetryBudget
import org.orioleferry.coordination.upstream.Upstream
import org.orioleferry.coordination.upstream.UpstreamDirectory
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.Clock
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.sharing.SlotCapacity
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerClientProvider
import kotlin.random.Random

/** Limits and client of one upstream. */
internal class UpstreamEntry(
    val upstream: Upstream,
    val client: WorkerClient,
    val limiter: ConcurrencyLimiter,
    val budget: RetryBudget,
    val backoff: FailureBackoff,
) {
    val hasFreeSlot: Boolean get() = limiter.hasFreeSlot && backoff.canTry()

    fun tryAcquire(): Boolean {
        if (!backoff.canTry() || !limiter.tryAcquire()) return false
        backoff.onCallStarted()
        return true
    }
}

/** Permit to run one request on one upstream. It is returned exactly once, through [UpstreamPool]. */
internal class UpstreamSlot(
    val entry: UpstreamEntry,
    val acquiredMs: Long,
) {
    var isReleased: Boolean = false

    val worker: WorkerId get() = entry.upstream.id
    val baseUrl: String get() = entry.upstream.baseUrl
    val client: WorkerClient get() = entry.client
}

/** The live upstreams with their limits. Thread-safe. */
internal class UpstreamPool(
    private val directory: UpstreamDirectory,
    private val clients: WorkerClientProvider,
    private val clock: Clock,
    private val random: Random,
    private val slotsPerWorker: Int,
    private val onCapacityAvailable: () -> Unit,
) {
    private var entries: Map<WorkerId, UpstreamEntry> = emptyMap()
    private var live: List<UpstreamEntry> = emptyList()
    private var totalLimit = 0
    private var inUse = 0
    private var lastReleased: UpstreamEntry? = null
    private var refreshedMs = clock.monotonicMs() - REFRESH_MS

    /** Whether any upstream is live. */
    val hasLive: Boolean get() = synchronized(this) { refreshed().isNotEmpty() }

    /** Slots of all live upstreams for all instances. */
    val totalSlots: Int get() = synchronized(this) { refreshed().size * slotsPerWorker }

    /** Slots that this instance may use under its adaptive limits. */
    fun capacity(): SlotCapacity =
        synchronized(this) {
            refreshed()
            SlotCapacity(totalLimit, totalLimit - inUse)
        }

    /** Whether a live upstream that is not in [excluded] exists, with or without a free slot. */
    fun hasOtherThan(excluded: Set<WorkerId>): Boolean =
        synchronized(this) { refreshed().any { it.upstream.id !in excluded } }

    /** Takes a slot on an upstream that is not in [excluded], or returns null when none has a free slot. */
    fun tryAcquire(excluded: Set<WorkerId> = emptySet()): UpstreamSlot? =
        synchronized(this) {
            val candidates = refreshed()
            val chosen =
                bestOfSample(candidates, excluded) ?: justReleased(excluded) ?: firstWithFreeSlot(candidates, excluded)
            if (chosen == null || !chosen.tryAcquire()) return null
            inUse++
            UpstreamSlot(chosen, clock.monotonicMs())
        }

    /** Client of a worker by the address in a row, whether the worker is live or not. */
    fun clientOf(
        worker: WorkerId,
        baseUrl: String,
    ): WorkerClient =
        synchronized(this) { entries[worker]?.takeIf { it.upstream.baseUrl == baseUrl }?.client } ?: clients(baseUrl)

    /** Records that a worker answered a call other than a dispatch, which ends its backoff. */
    fun recordAnswer(worker: WorkerId) {
        directory.report(worker, UpstreamEvidence.ANSWERED)
        synchronized(this) { entries[worker] }?.backoff?.onSuccess()
        onCapacityAvailable()
    }

    /** Returns a slot that no request used, without granting it to another request. */
    fun returnSlot(slot: UpstreamSlot) {
        if (slot.isReleased) return
        slot.isReleased = true
        slot.entry.backoff.onInconclusive()
        slot.entry.limiter.release(LimitSignal.NONE)
        synchronized(this) { inUse-- }
    }

    /** Returns a slot on which nothing was sent, so that it can be granted to another request. */
    fun releaseUnused(slot: UpstreamSlot) {
        if (slot.isReleased) return
        returnSlot(slot)
        onCapacityAvailable()
    }

    /** Returns a slot with the result of the dispatch, which counts as direct evidence about the worker. */
    fun release(
        slot: UpstreamSlot,
        result: DispatchResult,
    ) {
        if (slot.isReleased) return
        slot.isReleased = true
        val isCountedFailure = isFailure(result) && slot.entry.backoff.onFailure(slot.acquiredMs)
        evidenceOf(result, isCountedFailure).forEach { directory.report(slot.worker, it) }
        slot.entry.limiter.release(recordResult(slot.entry, result))
        synchronized(this) {
            inUse--
            lastReleased = slot.entry
        }
        onCapacityAvailable()
    }

    private fun recordResult(
        entry: UpstreamEntry,
        result: DispatchResult,
    ): LimitSignal =
        when (result) {
            is DispatchResult.Answered -> {
                entry.budget.onSuccess()
                entry.backoff.onSuccess()
                LimitSignal.SUCCESS
            }

            is DispatchResult.Failed -> {
                entry.backoff.onSuccess()
                LimitSignal.NONE
            }

            is DispatchResult.Unknown -> LimitSignal.OVERLOAD

            is DispatchResult.NotRun -> {
                if (result.reason != NotRunReason.UNREACHABLE) entry.backoff.onSuccess()
                if (result.reason == NotRunReason.BUSY) LimitSignal.OVERLOAD else LimitSignal.NONE
            }
        }

    /** A request that failed on a worker is an answer; the directory evaluates the share of such failures. */
    private fun isFailure(result: DispatchResult): Boolean =
        result is DispatchResult.Unknown ||
            (result is DispatchResult.NotRun && result.reason == NotRunReason.UNREACHABLE)

    private fun evidenceOf(
        result: DispatchResult,
        isCountedFailure: Boolean,
    ): List<UpstreamEvidence> =
        when (result) {
            is DispatchResult.Answered -> listOf(UpstreamEvidence.ANSWERED, UpstreamEvidence.WORK_SUCCEEDED)

            is DispatchResult.Failed -> listOf(UpstreamEvidence.ANSWERED, UpstreamEvidence.WORK_FAILED)

            is DispatchResult.Unknown -> if (isCountedFailure) listOf(UpstreamEvidence.UNREACHABLE) else emptyList()

            is DispatchResult.NotRun ->
                when (result.reason) {
                    NotRunReason.LEAVING -> listOf(UpstreamEvidence.LEAVING)
                    NotRunReason.UNREACHABLE -> listOf(UpstreamEvidence.UNREACHABLE)
                    NotRunReason.BUSY, NotRunReason.SEALED -> listOf(UpstreamEvidence.ANSWERED)
                }
        }

    private fun bestOfSample(
        candidates: List<UpstreamEntry>,
        excluded: Set<WorkerId>,
    ): UpstreamEntry? {
        if (candidates.isEmpty()) return null
        return List(SAMPLE_SIZE) { candidates[random.nextInt(candidates.size)] }
            .filter { it.upstream.id !in excluded && it.hasFreeSlot }
            .minByOrNull { it.limiter.inFlight.toDouble() / it.limiter.limit }
    }

    /** The upstream whose slot was returned last; under full load it is the only one with a free slot. */
    private fun justReleased(excluded: Set<WorkerId>): UpstreamEntry? {
        val id = lastReleased?.upstream?.id ?: return null
        val entry = entries[id] ?: return null
        return entry.takeIf { it.upstream.state == UpstreamState.LIVE && id !in excluded && it.hasFreeSlot }
    }

    private fun firstWithFreeSlot(
        candidates: List<UpstreamEntry>,
        excluded: Set<WorkerId>,
    ): UpstreamEntry? = candidates.firstOrNull { it.upstream.id !in excluded && it.hasFreeSlot }

    private fun refreshed(): List<UpstreamEntry> {
        val now = clock.monotonicMs()
        if (now - refreshedMs < REFRESH_MS) return live
        refreshedMs = now
        entries = directory.snapshot().associate { it.id to entryOf(it) }
        live = entries.values.filter { it.upstream.state == UpstreamState.LIVE }
        totalLimit = live.sumOf { it.limiter.limit }
        return live
    }

    private fun entryOf(upstream: Upstream): UpstreamEntry {
        val known = entries[upstream.id]
        if (known == null || known.upstream.baseUrl != upstream.baseUrl) {
            return UpstreamEntry(
                upstream,
                clients(upstream.baseUrl),
                ConcurrencyLimiter(clock, slotsPerWorker),
                RetryBudget(clock),
                FailureBackoff(clock, random),
            )
        }
        if (known.upstream == upstream) return known
        return UpstreamEntry(upstream, known.client, known.limiter, known.budget, known.backoff)
    }

    private companion object {
        /** The directory changes at most once a second; a change takes effect well within the bound of 3 s. */
        const val REFRESH_MS = 100L

        /** The least loaded of a few random upstreams is close to the least loaded of all, at constant cost. */
        const val SAMPLE_SIZE = 3
    }
}
