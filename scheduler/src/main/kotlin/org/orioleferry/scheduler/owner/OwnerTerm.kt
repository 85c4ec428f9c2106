package org.orioleferry.scheduler.owner

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.model.Manifest
import org.orioleferry.scheduler.store.FeedResult
import org.orioleferry.scheduler.store.RowStore
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.ScanResult
import org.orioleferry.scheduler.store.scanAll
import org.orioleferry.scheduler.workers.WorkerDirectory
import org.orioleferry.scheduler.workers.WorkerLink

/** What an owner needs of its process. [manifest] is the newest one in force here. */
public class OwnerParts(
    public val store: RowStore,
    public val link: WorkerLink,
    public val directory: () -> WorkerDirectory,
    public val manifest: () -> Manifest?,
    public val clock: Clock,
    public val settings: SchedulerSettings,
    public val log: DecisionLog,
)

/**
 * One period of ownership: reads the rows, claims the workers, and then places tasks until cancelled.
 *
 * Everything runs on one thread, so the state needs no locks.
 */
internal class OwnerTerm(
    private val parts: OwnerParts,
    private val ownership: Ownership,
) {
    private val store = parts.store
    private val clock = parts.clock
    private val planSignal = Channel<Unit>(Channel.CONFLATED)
    private val writer = ProgressWriter(store, ownership, parts.log)
    private val book = JobBook(parts, writer, ownership)

    /** Runs until cancelled or until the ownership is lost. */
    suspend fun run(): Unit =
        coroutineScope {
            val replan: () -> Unit = { planSignal.trySend(Unit) }
            val orders = RunOrders(parts, ownership, writer, this, replan)
            val watch = ProgressWatch(parts, orders)
            val runs = RunControl(parts, ownership, book, writer, orders, watch, this, replan)
            orders.onGone = runs::onGone
            val fleet = Fleet(parts, ownership, runs, this)
            val placement = Placement(parts, ownership, book, fleet, orders, watch.speeds, runs::stopIncomplete)
            writer.onStored = { fleet.wakeWaiting() }
            val jobsVersion = load()
            launch { writer.run() }
            launch { fleet.follow { planSignal.trySend(Unit) } }
            launch { QueueLengths(parts, ownership, book).publish() }
            launch { followJobs(jobsVersion, runs) }
            launch { purge() }
            planLoop(placement)
        }

    /** Reads everything that is stored; retries until the store answers. Returns the version to follow jobs from. */
    private suspend fun load(): Long {
        while (true) {
            val scans =
                coroutineScope {
                    val jobs = (0 until Rows.JOB_PARTS).map { async { store.scanAll(Rows.JOBS, it.toString()) } }
                    val progress = async { store.scanAll(Rows.PROGRESS, Rows.OWNER_PART) }
                    jobs.awaitAll() + progress.await()
                }
            val read = scans.filterIsInstance<ScanResult.Rows>()
            if (read.size == Rows.JOB_PARTS + 1) {
                book.load(read.take(Rows.JOB_PARTS).flatMap { it.rows }, read.last().rows)
                parts.log.record(
                    SchedulerEvent.TERM_LOADED,
                    parts.settings.instance,
                    "epoch" to ownership.epoch,
                    "jobs" to read.dropLast(1).sumOf { it.rows.size },
                    "live" to book.live.size,
                )
                return read.minOf { it.version }
            }
            delay(RETRY_MS)
        }
    }

    private suspend fun followJobs(
        from: Long,
        runs: RunControl,
    ) {
        var after = from
        while (true) {
            when (val feed = store.feed(Rows.JOBS, after, FEED_WAIT_MS)) {
                is FeedResult.Changes -> {
                    after = feed.version
                    feed.rows.forEach { row -> book.apply(row)?.let { runs.onJobChanged(it) } }
                    if (feed.rows.isNotEmpty()) planSignal.trySend(Unit)
                }
                FeedResult.HistoryLost -> after = reread(runs) ?: after
                is FeedResult.Unavailable -> delay(RETRY_MS)
            }
        }
    }

    private suspend fun reread(runs: RunControl): Long? {
        val scans = (0 until Rows.JOB_PARTS).map { store.scanAll(Rows.JOBS, it.toString()) }
        val read = scans.filterIsInstance<ScanResult.Rows>()
        if (read.size < scans.size) {
            delay(RETRY_MS)
            return null
        }
        read.flatMap { it.rows }.forEach { row -> book.apply(row)?.let { runs.onJobChanged(it) } }
        planSignal.trySend(Unit)
        return read.minOf { it.version }
    }

    private suspend fun planLoop(placement: Placement) {
        while (!ownership.isLost) {
            val nextMs = placement.nextTimerMs()
            withTimeoutOrNull(nextMs) { planSignal.receive() }
            delay(GROUP_MS)
            if (ownership.mayDecide) placement.pass() else delay(RETRY_MS)
        }
    }

    private suspend fun purge() {
        while (true) {
            delay(PURGE_MS)
            book.purge()
        }
    }

    private companion object {
        const val FEED_WAIT_MS = 2_000
        const val RETRY_MS = 150L

        // Jobs and ends that arrive within this time are decided together.
        const val GROUP_MS = 3L
        const val PURGE_MS = 10_000L
    }
}

/** Runs one term; the entry point for [Election]. */
public suspend fun leadTerm(
    parts: OwnerParts,
    ownership: Ownership,
) {
    OwnerTerm(parts, ownership).run()
}
