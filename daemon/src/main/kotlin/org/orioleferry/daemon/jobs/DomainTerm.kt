package org.orioleferry.daemon.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.event.EventType
import org.orioleferry.core.gang.StopCause
import org.orioleferry.core.gang.StopRules
import org.orioleferry.core.gang.toCancelled
import org.orioleferry.core.gang.toFailed
import org.orioleferry.core.guarantee.guaranteeShortfall
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Member
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.PlacementMember
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.PlannedReclaim
import org.orioleferry.core.placement.PlannedStart
import org.orioleferry.core.placement.canEverFit
import org.orioleferry.core.placement.placementKindOf
import org.orioleferry.core.placement.placementPolicyOf
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation

/** Runs one ownership term of a domain: loads the rows, takes over the gangs and places jobs until the term ends. */
internal class DomainTerm(
    private val dependencies: JobDependencies,
    private val guard: OwnershipGuard,
    private val hints: ReceiveChannel<JobId>,
) {
    private val settings = dependencies.settings
    private val tables = dependencies.tables
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val waiting = LinkedHashMap<JobId, VersionedJob>()
    private val runs = LinkedHashMap<JobId, GangRun>()
    private val history = RunHistory()
    private val writer = JobWriter(tables, guard, settings.storeRetryMs)
    private val context =
        TermContext(
            guard,
            writer,
            settings,
            dependencies.clock,
            dependencies.events,
            ::stopRules,
        ) { wakeUps.trySend(Unit) }
    private val fleet =
        Fleet(
            dependencies.upstreams,
            dependencies.workers,
            guard,
            dependencies.clock,
            { isOrphan(it.leaseId) },
            context.wake,
        )

    private val capacity = CapacityPublisher(tables, guard, fleet)
    private val reclaims = Reclaims(dependencies.clock, settings.reclaimGraceMs + RECLAIM_MARGIN_MS)
    private var reportedShortfall = emptyMap<WorkspaceName, Int>()

    init {
        context.fleet = fleet
    }

    /** Runs until it throws [OwnershipLostException]. */
    suspend fun run(): Unit =
        coroutineScope {
            load().forEach { registerJob(it, this) }
            launch { watchOwnership() }
            launch { fleet.claimContinuously(this) }
            launch { readInbox(this@coroutineScope) }
            launch { watchCapacity(this@coroutineScope) }
            runPlacementLoop(this)
        }

    private suspend fun load(): List<VersionedJob> {
        while (true) {
            guard.awaitConfirmedOwnership()
            val result = tables.scanJobs(JobRows.livePrefix(guard.domain))
            if (result is ReadResult.Found) return result.value
            delay(settings.storeRetryMs)
        }
    }

    private suspend fun watchOwnership() {
        while (true) {
            guard.requireCurrentTerm()
            delay(settings.ownershipPollMs)
        }
    }

    private fun isOrphan(leaseId: String): Boolean =
        runs.values.none { run -> run.members.any { it.member.leaseId == leaseId } }

    private fun stopRules(record: JobRecord): StopRules {
        val states = fleet.listed().associate { it.id to it.state }
        val isIdempotent = dependencies.configuration().classes[record.jobClass]?.idempotent ?: false
        return StopRules(isIdempotent, settings.maxFailures) { states[it] != UpstreamState.QUARANTINED }
    }

    /** Adds a row that was read to the waiting jobs or to the runs, unless the job runs or this version is known. */
    private fun registerJob(
        job: VersionedJob,
        scope: CoroutineScope,
    ) {
        val record = job.record
        when {
            record.state.isFinal || record.jobId in runs -> Unit
            job.version <= (waiting[record.jobId]?.version ?: 0) -> Unit
            record.state == JobState.QUEUED -> waiting[record.jobId] = job
            else -> launchRun(GangRun(context, job), scope)
        }
        runs[record.jobId]?.takeIf { record.cancelRequested }?.requestStop(StopCause.Cancelled)
    }

    private fun launchRun(
        run: GangRun,
        scope: CoroutineScope,
    ) {
        val jobId = run.job.record.jobId
        waiting.remove(jobId)
        runs[jobId] = run
        scope.launch {
            val job = run.run()
            runs.remove(jobId)
            if (job?.record?.state == JobState.QUEUED) waiting[jobId] = job
            job?.record?.let(history::add)
            context.wake()
        }
    }

    private suspend fun readInbox(scope: CoroutineScope) {
        while (true) {
            val prefix = JobRows.inboxPrefix(guard.domain)
            guard.awaitConfirmedOwnership()
            val found = (tables.scan(JobRows.TABLE, prefix) as? ReadResult.Found)?.value.orEmpty()
            for (row in found) {
                val job = writer.read(JobRows.jobIdOf(row.key)) ?: continue
                registerJob(job, scope)
            }
            val handled = found.map { TableOperation(JobRows.TABLE, it.key, expected = it.version, value = null) }
            if (handled.isNotEmpty()) {
                context.wake()
                tables.commit(handled)
            }
            if (found.size < INBOX_PAGE_ROWS) withTimeoutOrNull(settings.inboxPeriodMs) { hints.receive() }
        }
    }

    private suspend fun runPlacementLoop(scope: CoroutineScope) {
        while (true) {
            withTimeoutOrNull(settings.inboxPeriodMs) { wakeUps.receive() }
            guard.awaitConfirmedOwnership()
            cancelWaiting(scope)
            if (waiting.isNotEmpty()) placeWaiting(scope)
            delay(settings.passIntervalMs)
        }
    }

    private fun cancelWaiting(scope: CoroutineScope) {
        val wallMs = dependencies.clock.wallMs()
        waiting.values.filter { it.record.cancelRequested }.forEach { job ->
            endWaiting(job, EventType.JOB_CANCELLED, scope) { it.toCancelled(wallMs) }
        }
    }

    private fun endWaiting(
        job: VersionedJob,
        type: EventType,
        scope: CoroutineScope,
        change: (JobRecord) -> JobRecord,
    ) {
        waiting.remove(job.record.jobId)
        scope.launch {
            val result = writer.update(job, change)
            if (result is WriteResult.Written) context.emit(type, result.job.record)
        }
    }

    private fun placeWaiting(scope: CoroutineScope) {
        val configuration = dependencies.configuration()
        val snapshots = SnapshotBuilder(configuration, guard.domain, fleet, dependencies.clock)
        val initialSnapshot = snapshots.buildFleet(runs.values, history)
        reclaims.takeReady(initialSnapshot.workers) { it in waiting }.forEach { start(it, scope) }
        val snapshot = snapshots.buildFleet(runs.values, history, reclaims.plans)
        val policy = placementPolicyOf(configuration.placementKindOf(guard.domain))
        val plan = policy(snapshot, waiting.values.map { snapshots.buildWaitingJob(it.record) })
        plan.starts.forEach { start(it, scope) }
        plan.reclaims.forEach(::reclaim)
    }

    private fun start(
        planned: PlannedStart,
        scope: CoroutineScope,
    ) {
        val job = waiting[planned.jobId] ?: return
        launchRun(GangRun(context, job, assignLeases(job, planned.members)), scope)
    }

    private fun reclaim(planned: PlannedReclaim) {
        reclaims.add(planned)
        planned.victims.mapNotNull { runs[it] }.filter { !it.isStopping }.forEach { run ->
            run.requestStop(StopCause.Preempted(planned.beneficiary.value))
            context.emit(EventType.JOB_RECLAIMED, run.job.record, mapOf("beneficiary" to planned.beneficiary.value))
        }
    }

    /** Publishes the capacity, fails jobs that can never fit, and reports guarantees that the fleet cannot meet. */
    private suspend fun watchCapacity(scope: CoroutineScope) {
        while (true) {
            capacity.refresh()
            capacity.completeOrNull?.map { it.toPlacementWorker() }?.let { workers -> failNeverFitting(workers, scope) }
            reportShortfall()
            delay(settings.inboxPeriodMs)
        }
    }

    private fun failNeverFitting(
        workers: List<PlacementWorker>,
        scope: CoroutineScope,
    ) {
        waiting.values.filter { !canEverFit(it.record.gang, workers) }.forEach { job ->
            val wallMs = dependencies.clock.wallMs()
            endWaiting(job, EventType.JOB_FAILED, scope) { it.toFailed(neverFits(it.gang).message, wallMs) }
        }
    }

    private fun reportShortfall() {
        if (!fleet.isComplete) return
        val snapshots = SnapshotBuilder(dependencies.configuration(), guard.domain, fleet, dependencies.clock)
        val shortfall = guaranteeShortfall(snapshots.buildFleet(runs.values, history))
        val changed = shortfall.filter { (workspace, missing) -> reportedShortfall[workspace] != missing }
        reportedShortfall = shortfall
        changed.forEach { (workspace, missing) ->
            val attributes = mapOf("dataCentre" to guard.domain.value, "accelerators" to missing.toString())
            dependencies.events(EventType.GUARANTEE_SHORTFALL, attributes + ("workspace" to workspace.value))
        }
    }

    // The epoch keeps lease identifiers unique when a former owner made reservations for the same attempt.
    private fun assignLeases(
        job: VersionedJob,
        members: List<PlacementMember>,
    ): List<Member> =
        members.mapIndexed { index, member ->
            val record = job.record
            Member("${record.jobId}-${record.attempt}-${guard.epoch}-$index", member.worker, member.accelerators)
        }

    private companion object {
        const val INBOX_PAGE_ROWS = 500

        // Covers one renewal and one stop that time out at a worker that does not answer.
        const val RECLAIM_MARGIN_MS = 2_000L
    }
}
