package org.orioleferry.scheduler.owner

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.supervise
import org.orioleferry.scheduler.workers.ListedWorker
import org.orioleferry.scheduler.workers.RenewalResult
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.WorkerLink

/**
 * Session with one worker: claims it with the fencing token, extends the leases of its runs, and receives their ends.
 *
 * Calls are made only while the worker has runs, has an end to acknowledge, or is not claimed yet.
 */
internal class WorkerSession(
    listed: ListedWorker,
    private val link: WorkerLink,
    private val ownership: Ownership,
    private val clock: Clock,
    private val settings: SchedulerSettings,
    private val log: DecisionLog,
    private val listener: SessionListener,
    private val earlierLeases: EarlierLeases,
    isNew: Boolean = false,
) {
    var listed: ListedWorker = listed
        private set
    val id: String get() = listed.id
    var isListed = true

    /** Whether the worker is known to have accepted this owner's fencing token. */
    var isClaimed = false
        private set

    /** Whether the worker has listed every end from before it was claimed, so that what is neither listed nor ended is gone. */
    var isSettled = false
        private set

    /** Whether a call to the worker was answered or given up in this term. */
    private var hasBeenAsked = false

    /** Whether the worker may be about to list runs that earlier owners started, and their ends. */
    val awaitsListing: Boolean get() = !hasBeenAsked || (isClaimed && !isSettled)
    val runs = LinkedHashMap<RunId, Run>()

    /** Number of failed runs since the last success. */
    var consecutiveFailures = 0

    /** Monotonic time before which no run is started on the worker. */
    var avoidUntilMs = 0L

    /** Held from the sending of a renewal until its answer has been processed. */
    private val renewal = Mutex()
    private val probe = Mutex()

    /** Monotonic time at which the last call by [answers] failed, or -1. */
    private var probeFailedAtMs = -1L
    private val wakeUp = Channel<Unit>(Channel.CONFLATED)

    private val ends = EndAcknowledgements()

    /** Monotonic time at which the present incarnation was seen to begin, or null if it was there before. */
    private var bornAtMs: Long? = if (isNew) clock.monotonicMs() else null

    private val workerClock = WorkerClock(clock, settings)

    /** Runs whose leases expired while the worker did not answer; it may have crashed before. */
    private var lapsedRuns = emptyList<LostRun>()

    /** Local monotonic time since which no call was answered, or -1 while the worker is reachable. */
    private var unreachableSinceMs = -1L

    /** Whether all calls without an answer failed because the worker closed or refused the connection. */
    private var isLostByClosing = false

    /** Whether new runs may be started here. */
    val isOpen: Boolean
        get() =
            isClaimed &&
                isListed &&
                isDescribed &&
                !listed.isDraining &&
                unreachableSinceMs < 0 &&
                !workerClock.mayHaveLongLeases

    /** Whether the directory has described the known incarnation, which may differ in kind and capacity from the one before. */
    private var isDescribed = true

    /** Resources of the listed runs that are not among [runs] and have not ended yet. */
    private var foreignNeed = Resources()

    /** Resources not allocated to runs; runs that are being stopped still count. */
    val free: Resources get() =
        runs.values.fold(listed.capacity - foreignNeed) { remaining, run -> remaining - run.task.step.countedNeed }

    fun wake() {
        wakeUp.trySend(Unit)
    }

    /** Returns the time in ms since the present incarnation was seen to begin; [Long.MAX_VALUE] if it was there before. */
    fun ageMs(): Long {
        val untilMs = if (unreachableSinceMs >= 0) unreachableSinceMs else clock.monotonicMs()
        return bornAtMs?.let { untilMs - it } ?: Long.MAX_VALUE
    }

    /** Whether the worker is slow for a while after its start or an evacuation. */
    val isCold: Boolean get() = isClaimed && listed.coldUntilMs?.let { it > workerClock.nowMs() } == true

    /** Returns the shortest time in ms until the worker leaves, or null if it is not known to leave. */
    fun leavesInMs(): Long? {
        val leavesAtMs = listed.leavesAtMs?.takeIf { listed.isDraining && isClaimed } ?: return null
        return leavesAtMs - workerClock.nowMs()
    }

    /** Returns the deadline on the worker's clock for an order to start [run] that is sent now, in ms. */
    fun startDeadlineMs(run: Run): Long {
        if (runs.values.none { it.isOrdered }) workerClock.prove(clock.monotonicMs())
        run.isOrdered = true
        return workerClock.nextDeadlineMs(ownership.runLeaseLimitMs)
    }

    /**
     * Takes over a run that an earlier owner started in the incarnation [startedInMs], 0 if that is not known. Its lease may
     * last although this owner has granted none.
     */
    fun adoptLease(startedInMs: Long) {
        val isRestarted = listed.incarnationMs > startedInMs
        workerClock.inheritLeases(if (isRestarted) earlierLeases.endedAfterRestartAtMs else earlierLeases.endedAtMs)
    }

    /** The worker has answered an order that was sent at the monotonic time [sentAtMs]. */
    fun onOrderAnswered(sentAtMs: Long) = workerClock.prove(sentAtMs)

    /**
     * A run was started by an order that was sent at the monotonic time [sentAtMs], when the worker's clock showed [clockMs].
     * Asks the worker for its incarnation if the clock shows that it is not the known one.
     */
    suspend fun onStartAnswered(
        clockMs: Long,
        sentAtMs: Long,
    ) {
        if (workerClock.isConsistentWith(clockMs, sentAtMs)) {
            workerClock.confirmOrder(sentAtMs)
            return
        }
        log.record(SchedulerEvent.WORKER_REBORN, id, "clockMs" to clockMs, "earlier" to listed.incarnationMs)
        resetIncarnation()
        workerClock.beginNewIncarnation()
        probe.withLock { probe() }
    }

    /** Whether the worker's clock was read recently enough for an order to start a run. */
    val hasCurrentClock: Boolean get() = workerClock.isCurrent

    /**
     * Whether the present incarnation of the worker has answered a moment ago or does so now. Tells a start that was lost
     * on its way from one after which the worker crashed. Starts that ask at the same time share one call.
     */
    suspend fun answers(): Boolean {
        val askedAtMs = clock.monotonicMs()
        return probe.withLock { hasRecentAnswer() || (probeFailedAtMs < askedAtMs && probe()) }
    }

    private suspend fun probe(): Boolean {
        val worker = listed
        // Acknowledges nothing, so the ends that the answer lists are listed again by the next renewal.
        val result = link.renewLeases(worker, ownership.epoch, lastSeen = 0, deadlineMs = null, waitMs = 0)
        if (result is RenewalResult.Renewed && worker.incarnationMs == listed.incarnationMs) {
            if (result.incarnationMs == listed.incarnationMs) {
                // The progress of runs is measured between the readings of renewals.
                if (runs.values.none { it.isOrdered }) workerClock.update(result.clockMs) else workerClock.confirm()
                return true
            }
            if (result.incarnationMs > listed.incarnationMs) beginUnlistedIncarnation(result.incarnationMs)
        }
        probeFailedAtMs = clock.monotonicMs()
        return false
    }

    /**
     * Whether the known incarnation has answered a moment ago, so that the next call cannot reach a later one under the
     * same id. The ends of each incarnation are numbered anew, so an acknowledgement would discard the ends of a later one.
     */
    private fun hasRecentAnswer(): Boolean = isClaimed && unreachableSinceMs < 0 && workerClock.isConfirmed

    /** Whether the next answer at the worker's address may show that the worker crashed while it had runs. */
    val awaitsNextLife: Boolean
        get() = lapsedRuns.isNotEmpty() && clock.monotonicMs() - unreachableSinceMs < NEXT_LIFE_WAIT_MS

    /** Applies a changed directory entry. */
    fun update(entry: ListedWorker) {
        isListed = true
        if (entry.incarnationMs > listed.incarnationMs) {
            isDescribed = true
            beginNewIncarnation(entry)
        } else if (entry.incarnationMs == listed.incarnationMs) {
            listed = entry
            isDescribed = true
        }
    }

    /** Calls the worker until cancelled. */
    suspend fun run(): Unit = supervise(log, id, "worker session") { renewWhileNeeded() }

    private suspend fun renewWhileNeeded() {
        while (true) {
            if (isIdle() || !ownership.canExtendRunLeases) {
                withTimeoutOrNull(IDLE_CHECK_MS) { wakeUp.receive() }
                continue
            }
            renewal.withLock { renewOnce() }
        }
    }

    private fun isIdle(): Boolean =
        isSettled && hasNoRuns() && !ends.isUnacknowledged(ends.lastStored(listener.storedSequence))

    /** Whether the worker has listed what is on it and nothing is left, whoever started it. */
    val isKnownEmpty: Boolean get() = isSettled && hasNoRuns()

    private fun hasNoRuns(): Boolean = runs.isEmpty() && foreignNeed == Resources()

    /**
     * Returns the longest time in ms that the worker may hold the answer to a renewal; shorter for recent urgent runs,
     * where a restart elsewhere still helps, and for runs that seem to stand still.
     */
    private fun maxWaitMs(nowMs: Long): Int =
        when {
            runs.values.any { it.suspectedAtMs >= 0 || it.seemsSlow } -> CONFIRMATION_WAIT_MS
            // The leases are extended again soon after the next renewal of the ownership.
            !ownership.canDecide -> SHORT_WAIT_MS
            runs.values.any { it.isUrgent && nowMs - it.startedAtMs < EARLY_MS } -> SHORT_WAIT_MS
            else -> settings.pollWaitMs
        }

    private suspend fun renewOnce() {
        // Without a recent answer a later incarnation may receive the call, to which neither number nor deadline applies.
        // The call only shows the incarnation then, and the one after it extends the leases.
        val isConfirmed = hasRecentAnswer()
        val storedEnd = if (isConfirmed) ends.lastStored(listener.storedSequence) else 0
        val hasUnstored = ends.hasPendingAfter(storedEnd)
        val isWaiting = isConfirmed && isSettled && !hasNoRuns() && !hasUnstored
        val waitMs = if (isWaiting) maxWaitMs(clock.monotonicMs()) else 0
        val sentAtMs = clock.monotonicMs()
        val isExtending = isConfirmed && runs.values.any { it.isOrdered }
        val deadlineMs = if (isExtending) workerClock.nextDeadlineMs(ownership.runLeaseLimitMs) else null
        val worker = listed
        val incarnation = worker.incarnationMs
        val result =
            whileLeasesLast { link.renewLeases(worker, ownership.epoch, storedEnd, deadlineMs, waitMs) }
        hasBeenAsked = true
        when (result) {
            is RenewalResult.Renewed -> if (incarnation == listed.incarnationMs) onRenewed(result, sentAtMs, storedEnd)
            RenewalResult.Fenced -> {
                log.record(
                    SchedulerEvent.OWNERSHIP_LOST,
                    id,
                    "reason" to "higher token at worker",
                    "epoch" to ownership.epoch,
                )
                ownership.isLost = true
            }
            RenewalResult.OtherIncarnation -> {
                onOtherLife(incarnation)
                delay(RETRY_MS)
            }
            // A failed call for an earlier incarnation says nothing about the present one.
            is RenewalResult.Unreachable -> if (incarnation == listed.incarnationMs) onUnreachable(result)
        }
    }

    /** Makes [call], and gives it up when the leases of all runs have expired, so that their tasks start elsewhere. */
    private suspend fun whileLeasesLast(call: suspend () -> RenewalResult): RenewalResult {
        // Runs that are not ordered yet hold no leases, and the worker may hold its answer for longer than the margin.
        val leftMs = leasesLeftMs()?.takeIf { runs.values.any { it.isOrdered } } ?: return call()
        return withTimeoutOrNull(leftMs) { call() } ?: RenewalResult.Unreachable("no answer until the leases expired")
    }

    /** Returns the time in ms until the leases of all runs have certainly expired, or null if they have or there are none. */
    private fun leasesLeftMs(): Long? =
        (workerClock.leasesExpiredAtMs() - clock.monotonicMs()).takeIf { it > 0 && runs.isNotEmpty() }

    private suspend fun onRenewed(
        renewed: RenewalResult.Renewed,
        sentAtMs: Long,
        storedEnd: Long,
    ) {
        if (renewed.incarnationMs > listed.incarnationMs) {
            beginUnlistedIncarnation(renewed.incarnationMs)
            return
        }
        if (unreachableSinceMs >= 0) unreachableSinceMs = -1
        lapsedRuns = emptyList()
        // After a longer gap the worker, its path or this process stood still, and so may have the runs.
        val sinceListedMs =
            workerClock.update(renewed.clockMs).takeIf { it <= settings.pollWaitMs + MAX_LISTING_DELAY_MS }
        ends.acknowledge(storedEnd)
        ends.addNew(renewed.ends) { listener.onEnd(this, it) }
        val present = renewed.present.associateBy { it.id }
        if (!renewed.mayHaveMoreEnds) {
            runs.values
                .filter { run ->
                    (run.confirmedAtMs ?: Long.MAX_VALUE) < sentAtMs && run.id !in present
                }.forEach {
                    listener.onGone(it, "not listed by the worker")
                }
        }
        val (known, unknown) = present.values.partition { it.id in runs }
        known.forEach { runs.getValue(it.id).observe(it, sinceListedMs, clock.monotonicMs()) }
        foreignNeed = unknown.fold(Resources()) { sum, entry -> sum + listener.onUnknownRun(this, entry) }
        if (!isClaimed) {
            isClaimed = true
            log.record(
                SchedulerEvent.WORKER_CLAIMED,
                id,
                "epoch" to ownership.epoch,
                "present" to present.size,
                "ends" to renewed.ends.size,
                "more" to renewed.mayHaveMoreEnds,
            )
        }
        if (!isSettled && !renewed.mayHaveMoreEnds) {
            isSettled = true
            listener.onSettled(this)
        }
        listener.onListed(this)
        awaitStored()
    }

    /** Waits for pending ends to be stored: a renewal that leaves listed ends unacknowledged would return at once. */
    private suspend fun awaitStored() {
        val lastSequence = ends.lastSequence ?: return
        withTimeoutOrNull(MAX_STORE_WAIT_MS) {
            while (listener.storedSequence < lastSequence) wakeUp.receive()
        }
    }

    private suspend fun onUnreachable(result: RenewalResult.Unreachable) {
        val now = clock.monotonicMs()
        if (unreachableSinceMs < 0) {
            unreachableSinceMs = now
            isLostByClosing = true
            log.record(
                SchedulerEvent.WORKER_LOST,
                id,
                "reason" to result.reason,
                "closed" to result.isClosed,
                "runs" to runs.size,
            )
        }
        isLostByClosing = isLostByClosing && result.isClosed
        val pauseMs = if (now - unreachableSinceMs < QUICK_RETRY_MS) RETRY_MS else SLOW_RETRY_MS
        endLapsedRuns()
        delay(minOf(pauseMs, leasesLeftMs() ?: pauseMs))
        endLapsedRuns()
    }

    private fun endLapsedRuns() {
        if (runs.isEmpty() || leasesLeftMs() != null) return
        lapsedRuns = lostRuns()
        endIncarnation("lease has lapsed")
    }

    /** Ends the runs after another incarnation than [incarnationMs] has answered a call at the worker's address. */
    fun onOtherLife(incarnationMs: Long) {
        if (incarnationMs != listed.incarnationMs) return
        reportCrash()
        endIncarnation("another life answers")
    }

    /** Reports the crash of the present incarnation. A worker that drains ends by itself. */
    private fun reportCrash() {
        val lost = lostRuns() + if (awaitsNextLife) lapsedRuns else emptyList()
        lapsedRuns = emptyList()
        runs.values.forEach { it.isOrphaned = true }
        if (!listed.isDraining) listener.onCrashed(this, lost)
    }

    // A run that was not ordered yet was not on the worker.
    private fun lostRuns(): List<LostRun> =
        runs.values.filter { it.isOrdered && !it.isOrphaned }.map { run ->
            LostRun(run.task, run.id.attempt, run.provenMs(workerClock.readAtMs), presenceOf(run))
        }

    // A silent worker may have crashed at any time since, after its runs had ended or their leases had expired.
    private fun presenceOf(run: Run): Presence =
        when {
            run.isStopAccepted -> Presence.STOPPING
            run.beganMs == null || run.isGangBroken || !isLostByClosing -> Presence.POSSIBLE
            else -> Presence.CERTAIN
        }

    /** Begins the incarnation that started at [incarnationMs] and has answered before the directory lists it. */
    private fun beginUnlistedIncarnation(incarnationMs: Long) {
        // An entry that states no start cannot be told from one of another incarnation.
        isDescribed = listed.incarnationMs == 0L
        beginNewIncarnation(listed.copy(incarnationMs = incarnationMs))
    }

    private fun beginNewIncarnation(entry: ListedWorker) {
        log.record(
            SchedulerEvent.WORKER_REBORN,
            id,
            "bornMs" to entry.incarnationMs,
            "earlier" to listed.incarnationMs,
            "runs" to runs.size,
        )
        reportCrash()
        listed = entry
        bornAtMs = clock.monotonicMs()
        resetIncarnation()
        workerClock.beginNewIncarnation()
        listener.onNewIncarnation(this)
        wake()
    }

    private fun resetIncarnation() {
        isClaimed = false
        isSettled = false
        ends.reset()
        foreignNeed = Resources()
    }

    /** Ends all runs, because this incarnation of the worker is over or its leases have expired. */
    fun endIncarnation(reason: String) {
        resetIncarnation()
        workerClock.forgetDeadlines()
        runs.values.toList().forEach { listener.onGone(it, reason) }
    }

    /**
     * Ends all runs because the worker has deregistered. The answer to a renewal under way is awaited first: it may list
     * ends, which the worker counts as delivered.
     */
    suspend fun leave() {
        renewal.withLock { if (!isListed) endIncarnation("the worker has left") }
    }

    private companion object {
        // Bounds the delay caused by a missed wake-up.
        const val IDLE_CHECK_MS = 5_000L
        const val RETRY_MS = 150L

        // Age up to which an urgent run counts as recent.
        const val EARLY_MS = 2_500
        const val SHORT_WAIT_MS = 700

        // A run of 30 s makes one percent of progress in this time.
        const val CONFIRMATION_WAIT_MS = 300

        // Listings that follow each other within the poll time and this delay show whether a run makes progress.
        const val MAX_LISTING_DELAY_MS = 1_000
        const val QUICK_RETRY_MS = 3_000L
        const val SLOW_RETRY_MS = 500L

        // Leases are still extended at this period while the store cannot store run ends.
        const val MAX_STORE_WAIT_MS = 1_000L

        // A worker that crashes is back after some seconds; a later life shows nothing about the runs that have lapsed.
        const val NEXT_LIFE_WAIT_MS = 15_000L
    }
}
