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

/** One term of ownership of a domain: loads the rows, takes over the gangs, and places jobs until it is deposed. */
internal class DomainTerm(
    private val parts: JobParts,
    private val authority: Authority,
    private val hints: ReceiveChannel<JobId>,
) {
    private val settings = parts.settings
    private val tables = parts.tables
    private val wakeUps = Channel<Unit>(Channel.CONFLATED)
    private val waiting = LinkedHashMap<JobId, HeldJob>()
    private val runs = LinkedHashMap<JobId, GangRun>()
    private val history = RunHistory()
    private val writer = JobWriter(tables, authority, settings.storeRetryMs)
    private val context =
        TermContext(authority, writer, settings, parts.clock, parts.events, ::stopRules) { wakeUps.trySend(Unit) }
    private val fleet =
        Fleet(parts.upstreams, parts.workers, authority, parts.clock, { isOrphan(it.leaseId) }, context.wake)

    private val capacity = CapacityPublisher(tables, authority, fleet)
    private val reclaims = Reclaims(parts.clock, settings.reclaimGraceMs + RECLAIM_SLACK_MS)
    private var reported = emptyMap<WorkspaceName, Int>()

    init {
        context.fleet = fleet
    }

    /** Runs until [DeposedException]. */
    suspend fun run(): Unit =
        coroutineScope {
            load().forEach { take(it, this) }
            launch { watchOwnership() }
            launch { fleet.keepClaimed(this) }
            launch { readInbox(this@coroutineScope) }
            launch { watchCapacity(this@coroutineScope) }
            placeForever(this)
        }

    private suspend fun load(): List<HeldJob> {
        while (true) {
            authority.awaitOwner()
            val result = tables.scanJobs(JobRows.livePrefix(authority.domain))
            if (result is ReadResult.Found) return result.value
            delay(settings.storeRetryMs)
        }
    }

    private suspend fun watchOwnership() {
        while (true) {
            authority.requireTerm()
            delay(settings.ownershipPollMs)
        }
    }

    private fun isOrphan(leaseId: String): Boolean =
        runs.values.none { run -> run.members.any { it.member.leaseId == leaseId } }

    private fun stopRules(record: JobRecord): StopRules {
        val states = fleet.listed().associate { it.id to it.state }
        val isIdempotent = parts.configuration().classes[record.jobClass]?.idempotent ?: false
        return StopRules(isIdempotent, settings.maxFailures) { states[it] != UpstreamState.QUARANTINED }
    }

    /** Puts a row that was read into memory, unless the job is known already. */
    private fun take(
        held: HeldJob,
        scope: CoroutineScope,
    ) {
        val record = held.record
        when {
            record.state.isFinal || record.jobId in runs -> Unit
            held.version <= (waiting[record.jobId]?.version ?: 0) -> Unit
            record.state == JobState.QUEUED -> waiting[record.jobId] = held
            else -> launchRun(GangRun(context, held), scope)
        }
        runs[record.jobId]?.takeIf { record.cancelRequested }?.requestStop(StopCause.Cancelled)
    }

    private fun launchRun(
        run: GangRun,
        scope: CoroutineScope,
    ) {
        val jobId = run.held.record.jobId
        waiting.remove(jobId)
        runs[jobId] = run
        scope.launch {
            val held = run.run()
            runs.remove(jobId)
            if (held?.record?.state == JobState.QUEUED) waiting[jobId] = held
            held?.record?.let(history::add)
            context.wake()
        }
    }

    private suspend fun readInbox(scope: CoroutineScope) {
        while (true) {
            val prefix = JobRows.inboxPrefix(authority.domain)
            authority.awaitOwner()
            val found = (tables.scan(JobRows.TABLE, prefix) as? ReadResult.Found)?.value.orEmpty()
            for (row in found) {
                val held = writer.read(JobRows.jobIdOf(row.key)) ?: continue
                take(held, scope)
            }
            val handled = found.map { TableOperation(JobRows.TABLE, it.key, expected = it.version, value = null) }
            if (handled.isNotEmpty()) {
                context.wake()
                tables.commit(handled)
            }
            if (found.size < FULL_PAGE) withTimeoutOrNull(settings.inboxPeriodMs) { hints.receive() }
        }
    }

    private suspend fun placeForever(scope: CoroutineScope) {
        while (true) {
            withTimeoutOrNull(settings.inboxPeriodMs) { wakeUps.receive() }
            authority.awaitOwner()
            cancelWaiting(scope)
            if (waiting.isNotEmpty()) place(scope)
            delay(settings.passIntervalMs)
        }
    }

    private fun cancelWaiting(scope: CoroutineScope) {
        val wallMs = parts.clock.wallMs()
        waiting.values.filter { it.record.cancelRequested }.forEach { held ->
            end(held, EventType.JOB_CANCELLED, scope) { it.toCancelled(wallMs) }
        }
    }

    private fun end(
        held: HeldJob,
        type: EventType,
        scope: CoroutineScope,
        change: (JobRecord) -> JobRecord,
    ) {
        waiting.remove(held.record.jobId)
        scope.launch {
            val result = writer.update(held, change)
            if (result is WriteResult.Written) context.emit(type, result.held.record)
        }
    }

    private fun place(scope: CoroutineScope) {
        val configuration = parts.configuration()
        val snapshots = SnapshotBuilder(configuration, authority.domain, fleet, parts.clock)
        val before = snapshots.fleet(runs.values, history)
        reclaims.ready(before.workers) { it in waiting }.forEach { start(it, scope) }
        val snapshot = snapshots.fleet(runs.values, history, reclaims.plans)
        val policy = placementPolicyOf(configuration.placementKindOf(authority.domain))
        val plan = policy(snapshot, waiting.values.map { snapshots.waiting(it.record) })
        plan.starts.forEach { start(it, scope) }
        plan.reclaims.forEach(::reclaim)
    }

    private fun start(
        planned: PlannedStart,
        scope: CoroutineScope,
    ) {
        val held = waiting[planned.jobId] ?: return
        launchRun(GangRun(context, held, leases(held, planned.members)), scope)
    }

    private fun reclaim(planned: PlannedReclaim) {
        reclaims.add(planned)
        planned.victims.mapNotNull { runs[it] }.filter { !it.isStopping }.forEach { run ->
            run.requestStop(StopCause.Preempted(planned.beneficiary.value))
            context.emit(EventType.JOB_RECLAIMED, run.held.record, mapOf("beneficiary" to planned.beneficiary.value))
        }
    }

    /** Publishes the capacity, fails jobs that it can never hold, and reports guarantees that it no longer holds. */
    private suspend fun watchCapacity(scope: CoroutineScope) {
        while (true) {
            capacity.refresh()
            capacity.complete?.map { it.toPlacementWorker() }?.let { workers -> failNeverFitting(workers, scope) }
            reportShortfall()
            delay(settings.inboxPeriodMs)
        }
    }

    private fun failNeverFitting(
        workers: List<PlacementWorker>,
        scope: CoroutineScope,
    ) {
        waiting.values.filter { !canEverFit(it.record.gang, workers) }.forEach { held ->
            val wallMs = parts.clock.wallMs()
            end(held, EventType.JOB_FAILED, scope) { it.toFailed(neverFits(it.gang).message, wallMs) }
        }
    }

    private fun reportShortfall() {
        if (!fleet.isComplete) return
        val snapshots = SnapshotBuilder(parts.configuration(), authority.domain, fleet, parts.clock)
        val shortfall = guaranteeShortfall(snapshots.fleet(runs.values, history))
        val fresh = shortfall.filter { (workspace, missing) -> reported[workspace] != missing }
        reported = shortfall
        fresh.forEach { (workspace, missing) ->
            val place = mapOf("dataCentre" to authority.domain.value, "accelerators" to missing.toString())
            parts.events(EventType.GUARANTEE_SHORTFALL, place + ("workspace" to workspace.value))
        }
    }

    // The epoch makes the identifier unique when a former owner reserved for the same attempt.
    private fun leases(
        held: HeldJob,
        members: List<PlacementMember>,
    ): List<Member> =
        members.mapIndexed { index, member ->
            val record = held.record
            Member("${record.jobId}-${record.attempt}-${authority.epoch}-$index", member.worker, member.accelerators)
        }

    private companion object {
        const val FULL_PAGE = 500

        // A renewal and a stop that time out at a worker that does not answer.
        const val RECLAIM_SLACK_MS = 2_000L
    }
}
