package org.orioleferry.scheduler.owner

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.model.JobSpec
import org.orioleferry.scheduler.model.Manifest
import org.orioleferry.scheduler.model.QueuePolicy
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.StoredRow
import org.orioleferry.scheduler.store.scanAll
import org.orioleferry.scheduler.workers.AdviceService
import org.orioleferry.scheduler.workers.WorkerDirectory
import org.orioleferry.scheduler.workers.WorkerLink

/**
 * Dependencies of an owner. [directory] creates a view of the worker directory for one term; [manifest] returns the
 * latest applied manifest, or null before the first; [evacuations] are the requests that this instance follows; [advice] is
 * null without an advice service.
 */
public class OwnerDependencies(
    public val store: RowStore,
    public val link: WorkerLink,
    public val directory: () -> WorkerDirectory,
    public val manifest: () -> Manifest?,
    public val clock: Clock,
    public val settings: SchedulerSettings,
    public val log: DecisionLog,
    public val evacuations: DataCentreEvacuations,
    public val advice: AdviceService? = null,
) {
    /** Returns the policy under which [job] is run now. */
    internal fun policyOf(job: JobSpec): QueuePolicy = manifest()?.policyOf(job) ?: job.policy ?: QueuePolicy.DEFAULT
}

/**
 * One term of ownership: reads the rows, claims the workers, and then places tasks until cancelled.
 *
 * All coroutines run on one thread, so the state needs no locks.
 */
internal class OwnerTerm(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
) {
    private val store = dependencies.store
    private val clock = dependencies.clock
    private val planSignal = Channel<Unit>(Channel.CONFLATED)
    private val writer = ProgressWriter(store, ownership, dependencies.log)
    private val jobRegistry = JobRegistry(dependencies, writer, ownership)
    private val passLog = PassLog(clock, dependencies.log, dependencies.settings.instance)

    /** Runs until cancelled or until the ownership is lost. */
    suspend fun run(): Unit =
        coroutineScope {
            val replan: () -> Unit = { planSignal.trySend(Unit) }
            val orders = RunOrders(dependencies, ownership, writer, this, replan)
            val monitor = ProgressMonitor(dependencies, orders)
            val runs = RunControl(dependencies, ownership, jobRegistry, writer, orders, monitor, this, replan)
            orders.onGone = runs::onGone
            val forecast = RunForecast(monitor.durations, clock)
            val leavingWorkers = LeavingWorkers(orders, dependencies.settings.maxStopMs, forecast)
            val fleet = Fleet(dependencies, ownership, runs, this, leavingWorkers)
            val jobFeed = JobFeed(store, clock, dependencies.log, jobRegistry::removeMissing, replan)
            val tickets = TicketProvider(dependencies, this, replan)
            val demands =
                Demands(dependencies, jobRegistry, fleet, tickets, monitor.durations, runs::stopIncompleteGang)
            val placement =
                Placement(
                    dependencies,
                    ownership,
                    jobRegistry,
                    fleet,
                    orders,
                    monitor.speeds,
                    tickets,
                    demands,
                    forecast,
                )
            writer.onStored = { fleet.wakeSessions() }
            writer.onRejected = runs::onRejected
            val jobsVersion = load() ?: return@coroutineScope
            monitor.slowRuns?.usableWorkers = { fleet.sessions.filter { fleet.isUsable(it) } }
            launch { writer.run() }
            launch { fleet.follow { planSignal.trySend(Unit) } }
            launch { fleet.releaseEarlierTasks() }
            launch { QueueLengths(dependencies, ownership, jobRegistry).publish() }
            launch { jobFeed.follow(jobsVersion) { row -> applyJobRow(row, runs) } }
            if (dependencies.settings.shortage != null) {
                launch { ForecastUpdater(dependencies, ownership, jobRegistry, fleet).run() }
            }
            launch { purge() }
            planLoop(placement)
        }

    /**
     * Reads all stored jobs and returns the store version from which to follow the feed. Returns null after
     * [LOAD_TIMEOUT_MS], because another instance may have a better path to the store.
     */
    private suspend fun load(): Long? {
        val deadlineMs = clock.monotonicMs() + LOAD_TIMEOUT_MS
        val sources = (0 until Rows.JOB_PARTS).map { Rows.JOBS to it.toString() } + (Rows.PROGRESS to Rows.OWNER_PART)
        val scansBySource = HashMap<Pair<String, String>, ScanResult.Rows>()
        while (clock.monotonicMs() < deadlineMs && !ownership.isLost) {
            readMissing(sources.filter { it !in scansBySource }, scansBySource)
            if (scansBySource.size == sources.size) {
                val jobs = sources.dropLast(1).flatMap { scansBySource.getValue(it).rows }
                jobRegistry.load(jobs, scansBySource.getValue(sources.last()).rows)
                dependencies.log.record(
                    SchedulerEvent.TERM_LOADED,
                    dependencies.settings.instance,
                    "epoch" to ownership.epoch,
                    "jobs" to jobs.size,
                    "live" to jobRegistry.activeJobs.size,
                )
                return scansBySource.values.minOf { it.version }
            }
            delay(RETRY_MS)
        }
        dependencies.log.record(
            SchedulerEvent.TERM_NOT_LOADED,
            dependencies.settings.instance,
            "epoch" to ownership.epoch,
            "read" to scansBySource.size,
            "of" to sources.size,
            "limitMs" to LOAD_TIMEOUT_MS,
        )
        return null
    }

    /**
     * Reads [sources], pairs of a table and one of its parts, with limited parallelism: more parallel reads only
     * delay one another on a narrow link.
     */
    private suspend fun readMissing(
        sources: List<Pair<String, String>>,
        scansBySource: MutableMap<Pair<String, String>, ScanResult.Rows>,
    ) {
        val open = ArrayDeque(sources)
        coroutineScope {
            repeat(PARALLEL_READS) {
                launch {
                    while (true) {
                        val source = open.removeFirstOrNull() ?: break
                        val scan = store.scanAll(source.first, source.second)
                        if (scan is ScanResult.Rows) scansBySource[source] = scan
                    }
                }
            }
        }
    }

    private fun applyJobRow(
        row: StoredRow,
        runs: RunControl,
    ) {
        jobRegistry.guarded(row.key.key) { jobRegistry.apply(row)?.let { runs.onJobChanged(it) } }
    }

    private suspend fun planLoop(placement: Placement) {
        var lastPassMs = 0L
        while (!ownership.isLost) {
            val nextMs = placement.nextTimerMs()
            withTimeoutOrNull(nextMs) { planSignal.receive() }
            val dueMs = clock.monotonicMs() + maxOf(GROUP_DELAY_MS, lastPassMs * PAUSE_FACTOR)
            delay(dueMs - clock.monotonicMs())
            if (!ownership.canDecide) {
                delay(RETRY_MS)
                continue
            }
            val beganMs = clock.monotonicMs()
            placement.runPass()
            val passMs = clock.monotonicMs() - beganMs
            passLog.record(passMs, beganMs - dueMs)
            lastPassMs = minOf(passMs, MAX_COUNTED_PASS_MS)
        }
    }

    private suspend fun purge() {
        while (true) {
            delay(PURGE_PERIOD_MS)
            jobRegistry.purge()
        }
    }

    private companion object {
        // Loading takes about 0.2 s without faults; the narrowest link of the deployments takes 2 s for 500 jobs.
        const val LOAD_TIMEOUT_MS = 6_000L
        const val PARALLEL_READS = 3
        const val RETRY_MS = 150L

        // Jobs and run ends that arrive within this time are handled in one pass.
        const val GROUP_DELAY_MS = 3L

        // A pause of 2 x the last pass limits passes to a third of the processor time, so that calls and renewals are
        // served in between. The delay is shorter than the stops of preempted runs that urgent work waits for.
        const val PAUSE_FACTOR = 2
        const val MAX_COUNTED_PASS_MS = 100L
        const val PURGE_PERIOD_MS = 10_000L
    }
}

/** Runs one term of [ownership]; the entry point for [Election]. */
public suspend fun runOwnerTerm(
    dependencies: OwnerDependencies,
    ownership: Ownership,
) {
    OwnerTerm(dependencies, ownership).run()
}
