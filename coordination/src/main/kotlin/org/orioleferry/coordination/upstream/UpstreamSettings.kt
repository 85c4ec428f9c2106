package org.orioleferry.coordination.upstream

import org.orioleferry.core.model.WorkerId

/**
 * Times and limits of the upstream directory.
 *
 * @property probeGapMs shortest time between two routine probes of this instance. A probe and its answer are about
 * 600 B, so routine probes take 0.3 KB/s whatever the size of the fleet.
 * @property routineAgeMs a worker with direct evidence younger than this gets no routine probe.
 * @property confirmGapMs time between two probes of a suspect worker.
 * @property confirmProbes failed probes after which a suspect worker is dead.
 * @property deadProbeMs first time until a dead worker is probed again; doubles up to [maxDeadProbeMs].
 * @property leavingMs time for which one report of leaving counts. First-hand reports are repeated to the peers.
 * @property unlistedMs a worker that the list no longer has is forgotten after this time without an answer.
 * @property peerReportMs own evidence younger than this outweighs a peer's report that a worker is unreachable.
 */
public data class UpstreamSettings(
    val checkMs: Long = 250,
    val probeGapMs: Long = 2_000,
    val routineAgeMs: Long = 5_000,
    val confirmGapMs: Long = 1_000,
    val confirmProbes: Int = 3,
    val deadProbeMs: Long = 5_000,
    val maxDeadProbeMs: Long = 60_000,
    val leavingMs: Long = 60_000,
    val unlistedMs: Long = 30_000,
    val peerReportMs: Long = 10_000,
    val quarantine: QuarantineSettings = QuarantineSettings(),
)

/**
 * Conditions under which a worker whose work fails gets no new work.
 *
 * @property outcomes number of latest outcomes that the failure share is computed from.
 * @property minFailures fewest failures among these outcomes that start a quarantine.
 * @property minShare the worker's failure share has to exceed this.
 * @property maxPeerMedian the median share of the other workers has to be below this: when most workers fail, the
 * cause is the work.
 * @property minPeers fewest other workers with an outcome, since without them there is no comparison.
 * @property firstMs length of the first quarantine; doubles each time up to [maxMs].
 * @property trialSuccesses successes after a quarantine that end the doubling.
 */
public data class QuarantineSettings(
    val outcomes: Int = 20,
    val minFailures: Int = 3,
    val minShare: Double = 0.5,
    val maxPeerMedian: Double = 0.1,
    val minPeers: Int = 2,
    val firstMs: Long = 30_000,
    val maxMs: Long = 600_000,
    val trialSuccesses: Int = 3,
)

/** First-hand reports of this instance for its next heartbeat. */
public data class UpstreamReport(
    val leaving: List<WorkerId>,
    val unreachable: List<WorkerId>,
)

/** Probes a worker: answered, leaving or unreachable. It has its own deadline and does not throw. */
public typealias UpstreamProbe = suspend (upstream: Upstream) -> UpstreamEvidence
