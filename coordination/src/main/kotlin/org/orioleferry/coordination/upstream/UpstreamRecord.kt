package org.orioleferry.coordination.upstream

import org.orioleferry.platform.ListedInstance

/** Evidence of this instance about one worker. Not thread-safe; the directory guards it by its lock. */
internal class UpstreamRecord(
    var listed: ListedInstance,
    private val settings: UpstreamSettings,
) {
    var isListed = true
    var answeredMs: Long? = null
    var evidenceMs: Long? = null
    var failedProbes = 0
    var nextProbeMs: Long? = null
    var isProbing = false
    var reportsSent = 0
    private var isSuspected = false
    private var deadProbeMs = settings.deadProbeMs
    private var firstHandLeavingMs: Long? = null
    private var peerLeavingMs: Long? = null
    private val outcomes = ArrayDeque<Boolean>()
    private var quarantineMs = 0L
    private var quarantinedUntilMs: Long? = null

    val isDead: Boolean get() = failedProbes >= settings.confirmProbes
    val hasOutcomes: Boolean get() = outcomes.isNotEmpty()
    val failures: Int get() = outcomes.count { !it }
    val failureShare: Double get() = if (outcomes.isEmpty()) 0.0 else failures.toDouble() / outcomes.size

    fun state(now: Long): UpstreamState =
        when {
            isDead -> UpstreamState.DEAD
            isLeaving(now) -> UpstreamState.LEAVING
            isQuarantined(now) -> UpstreamState.QUARANTINED
            isSuspected -> UpstreamState.SUSPECT
            else -> UpstreamState.LIVE
        }

    /** Whether the list or the worker itself says that it is leaving; only such reports are passed to the peers. */
    fun isLeavingFirstHand(now: Long): Boolean =
        !isListed || listed.state == ListedInstance.STATE_LEAVING || isRecent(firstHandLeavingMs, now)

    private fun isLeaving(now: Long) = isLeavingFirstHand(now) || isRecent(peerLeavingMs, now)

    private fun isRecent(
        reportedMs: Long?,
        now: Long,
    ) = reportedMs != null && now - reportedMs < settings.leavingMs

    private fun isQuarantined(now: Long) = quarantinedUntilMs.let { it != null && now < it }

    fun recordAnswer(now: Long) {
        answeredMs = now
        evidenceMs = now
        failedProbes = 0
        isSuspected = false
        nextProbeMs = null
        deadProbeMs = settings.deadProbeMs
    }

    /** Records a failure outside the probes. It only starts the probes, since it may concern a single connection. */
    fun recordUnreachable(now: Long) {
        evidenceMs = now
        if (isSuspected) return
        isSuspected = true
        if (nextProbeMs == null) nextProbeMs = now
    }

    fun recordProbeFailure(now: Long) {
        evidenceMs = now
        isSuspected = true
        failedProbes++
        nextProbeMs = now + if (isDead) deadProbeMs else settings.confirmGapMs
        if (isDead) deadProbeMs = minOf(deadProbeMs * 2, settings.maxDeadProbeMs)
    }

    /** Records that a peer cannot reach the worker. This instance then probes it and decides by its own result. */
    fun recordUnreachableByPeer(now: Long) {
        val isFresh = answeredMs.let { it != null && now - it < settings.peerReportMs }
        if (!isFresh && nextProbeMs == null) nextProbeMs = now
    }

    fun recordLeavingFirstHand(now: Long) {
        firstHandLeavingMs = now
    }

    fun recordLeavingByPeer(now: Long) {
        peerLeavingMs = now
    }

    fun recordOutcome(
        isSuccess: Boolean,
        now: Long,
    ) {
        // Work that was started before the quarantine shows nothing about the trial after it.
        if (isQuarantined(now)) return
        outcomes += isSuccess
        if (outcomes.size > settings.quarantine.outcomes) outcomes.removeFirst()
        if (outcomes.size - failures >= settings.quarantine.trialSuccesses) quarantineMs = 0
    }

    /** Starts a quarantine, and returns true, when the failure share is far above the median of [others]. */
    fun quarantineIfOutlier(
        others: List<UpstreamRecord>,
        now: Long,
    ): Boolean {
        val limits = settings.quarantine
        if (isQuarantined(now) || failures < limits.minFailures || failureShare <= limits.minShare) return false
        val shares = others.filter { it.hasOutcomes }.map { it.failureShare }.sorted()
        if (shares.size < limits.minPeers || median(shares) >= limits.maxPeerMedian) return false
        quarantineMs = if (quarantineMs == 0L) limits.firstMs else minOf(quarantineMs * 2, limits.maxMs)
        quarantinedUntilMs = now + quarantineMs
        outcomes.clear()
        return true
    }

    private fun median(sorted: List<Double>): Double {
        val middle = sorted.size / 2
        return if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
    }
}
