package org.orioleferry.scheduler.owner

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.DecisionLog
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.SchedulerSettings
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.workers.HoldResult
import org.orioleferry.scheduler.workers.ListedEnd
import org.orioleferry.scheduler.workers.ListedWorker
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.WorkerLink

/** What the owner does with news from a worker. */
internal interface SessionListener {
    /** An end that the worker lists. Returns the number of the change after which it may be forgotten there. */
    fun onEnd(
        session: WorkerSession,
        end: ListedEnd,
    ): Long

    /** A run that the worker lists and the session does not know. */
    fun onUnknownRun(
        session: WorkerSession,
        present: PresentRun,
    )

    /** A run is certain to be gone without an end that can be listed. */
    fun onGone(
        run: Run,
        reason: String,
    )

    /**
     * The worker has started anew under its id. Orders that were sent before this was known may have been carried out in
     * the new life, or still be, so its runs are not certain to be gone.
     */
    fun onNewLife(session: WorkerSession)

    /** The worker has taken the fencing token, and all that it runs has been reported. */
    fun onClaimed(session: WorkerSession)

    /** The worker's list was read; room and progress may have changed. */
    fun onListed(session: WorkerSession)

    /** Number up to which changes are stored. */
    val storedSequence: Long
}

/**
 * The owner's view of one worker: claims it with the fencing token, extends the lease of its runs, and learns of ends.
 *
 * A call is made only while something runs, an end has to be acknowledged, or the worker is not claimed yet.
 */
internal class WorkerSession(
    listed: ListedWorker,
    private val link: WorkerLink,
    private val ownership: Ownership,
    private val clock: Clock,
    private val settings: SchedulerSettings,
    private val log: DecisionLog,
    private val listener: SessionListener,
) {
    var listed: ListedWorker = listed
        private set
    val id: String get() = listed.id
    var isListed = true

    /** Whether the worker is known to have seen our fencing token. */
    var isClaimed = false
        private set
    val runs = LinkedHashMap<RunId, Run>()

    /** Failures without a success in between, and when the worker may be tried again. */
    var failuresInRow = 0
    var avoidUntilMs = 0L

    private val wakeUp = Channel<Unit>(Channel.CONFLATED)
    private var processedEnd = 0L
    private var acknowledgedEnd = 0L

    /** Ends that are not acknowledged: their number at the worker and the change that has to be stored first. */
    private val pendingEnds = ArrayDeque<Pair<Long, Long>>()
    private var clockMs = 0L
    private var clockReadAtMs = 0L
    private var highestDeadlineMs = 0L
    private var unreachableSinceMs = -1L

    /** Whether new runs may be started here. */
    val isOpen: Boolean get() = isClaimed && isListed && !listed.isDraining && unreachableSinceMs < 0

    /** Room that is not taken by runs, those that are being stopped included. */
    val free: Resources get() = runs.values.fold(listed.room) { room, run -> room - run.task.step.countedNeed }

    fun wake() {
        wakeUp.trySend(Unit)
    }

    /** Deadline for an order sent now, on the worker's clock. */
    fun nextDeadlineMs(): Long {
        val deadline = clockMs + (clock.monotonicMs() - clockReadAtMs) + settings.runLeaseMs
        highestDeadlineMs = maxOf(highestDeadlineMs, deadline)
        return deadline
    }

    /** Takes over a changed entry of the directory. */
    fun update(entry: ListedWorker) {
        isListed = true
        if (entry.bornMs > listed.bornMs) {
            beginNewLife(entry)
        } else if (entry.bornMs == listed.bornMs) {
            listed = entry
        }
    }

    /** Talks to the worker until cancelled. */
    suspend fun run() {
        while (true) {
            if (isIdle() || !ownership.mayHold) {
                withTimeoutOrNull(IDLE_CHECK_MS) { wakeUp.receive() }
                continue
            }
            holdOnce()
        }
    }

    private fun isIdle(): Boolean = isClaimed && runs.isEmpty() && acknowledgeable() <= acknowledgedEnd

    private fun acknowledgeable(): Long {
        val stored = listener.storedSequence
        return pendingEnds.takeWhile { it.second <= stored }.lastOrNull()?.first ?: acknowledgedEnd
    }

    /** Young urgent runs are looked at more often, while starting them elsewhere still helps. */
    private fun longestWaitMs(nowMs: Long): Int =
        if (runs.values.any { it.isUrgent && nowMs - it.startedAtMs < YOUNG_MS }) YOUNG_LOOK_MS else settings.longHoldMs

    private suspend fun holdOnce() {
        val lastSeen = acknowledgeable()
        val hasUnstored = pendingEnds.any { it.first > lastSeen }
        val waitMs = if (isClaimed && runs.isNotEmpty() && !hasUnstored) longestWaitMs(clock.monotonicMs()) else 0
        val sentAtMs = clock.monotonicMs()
        val deadlineMs = if (isClaimed && runs.isNotEmpty() && mayExtend(sentAtMs)) nextDeadlineMs() else null
        val life = listed.bornMs
        when (val result = link.hold(listed, ownership.epoch, lastSeen, deadlineMs, waitMs)) {
            is HoldResult.Held -> if (life == listed.bornMs) onHeld(result, sentAtMs, lastSeen)
            HoldResult.Fenced -> {
                log.record(
                    SchedulerEvent.OWNERSHIP_LOST,
                    id,
                    "reason" to "higher token at worker",
                    "epoch" to ownership.epoch,
                )
                ownership.isLost = true
            }
            HoldResult.OtherLife -> {
                if (life == listed.bornMs) endLife("another life answers")
                delay(RETRY_MS)
            }
            is HoldResult.Unreachable -> onUnreachable(result)
        }
    }

    // An unanswered call may extend the lease all the same, so the leases of an unreachable worker must be left to end.
    private fun mayExtend(nowMs: Long): Boolean =
        unreachableSinceMs < 0 || nowMs - unreachableSinceMs < EXTENDED_UNREACHED_MS

    private suspend fun onHeld(
        held: HoldResult.Held,
        sentAtMs: Long,
        lastSeen: Long,
    ) {
        if (held.bornMs > listed.bornMs) {
            beginNewLife(listed.copy(bornMs = held.bornMs))
            return
        }
        if (unreachableSinceMs >= 0) unreachableSinceMs = -1
        clockMs = held.clockMs
        clockReadAtMs = clock.monotonicMs()
        acknowledgedEnd = maxOf(acknowledgedEnd, lastSeen)
        while (pendingEnds.isNotEmpty() && pendingEnds.first().first <= acknowledgedEnd) pendingEnds.removeFirst()
        held.ends.filter { it.number > processedEnd }.forEach { end ->
            processedEnd = end.number
            pendingEnds += end.number to listener.onEnd(this, end)
        }
        val present = held.present.associateBy { it.id }
        runs.values.filter { run -> (run.confirmedAtMs ?: Long.MAX_VALUE) < sentAtMs && run.id !in present }.forEach {
            listener.onGone(it, "not listed by the worker")
        }
        present.values.forEach { entry ->
            runs[entry.id]?.let { note(it, entry) } ?: listener.onUnknownRun(this, entry)
        }
        if (!isClaimed) {
            isClaimed = true
            log.record(
                SchedulerEvent.WORKER_CLAIMED,
                id,
                "epoch" to ownership.epoch,
                "present" to present.size,
                "ends" to held.ends.size,
            )
            listener.onClaimed(this)
        }
        listener.onListed(this)
        awaitStored()
    }

    private fun note(
        run: Run,
        entry: PresentRun,
    ) {
        val now = clock.monotonicMs()
        if (run.firstPercentAtMs == run.startedAtMs) {
            run.firstPercentAtMs = now
            run.firstPercent = entry.percent
        }
        if (entry.percent > run.percent) run.progressedAtMs = now
        run.percent = entry.percent
        if (entry.checkpoint.isNotEmpty() && entry.checkpoint != run.checkpoint) {
            run.checkpoint = entry.checkpoint
            run.savedAtMs = now
        }
    }

    /** A hold that leaves listed ends unacknowledged is answered at once, so the next one waits until they are stored. */
    private suspend fun awaitStored() {
        val last = pendingEnds.lastOrNull()?.second ?: return
        withTimeoutOrNull(UNSTORED_PAUSE_MS) {
            while (listener.storedSequence < last) wakeUp.receive()
        }
    }

    private suspend fun onUnreachable(result: HoldResult.Unreachable) {
        val now = clock.monotonicMs()
        if (unreachableSinceMs < 0) {
            unreachableSinceMs = now
            log.record(SchedulerEvent.WORKER_LOST, id, "reason" to result.reason, "runs" to runs.size)
        }
        if (runs.isNotEmpty() && now > lapsedByMs()) endLife("lease has lapsed")
        delay(if (now - unreachableSinceMs < QUICK_RETRY_MS) RETRY_MS else SLOW_RETRY_MS)
    }

    /** Time on our clock by which the worker's clock has passed every deadline that it was given. */
    private fun lapsedByMs(): Long =
        clockReadAtMs + ((highestDeadlineMs - clockMs).coerceAtLeast(0) / settings.clockSlowdown).toLong() +
            LAPSE_MARGIN_MS

    private fun beginNewLife(entry: ListedWorker) {
        log.record(
            SchedulerEvent.WORKER_REBORN,
            id,
            "bornMs" to entry.bornMs,
            "earlier" to listed.bornMs,
            "runs" to runs.size,
        )
        listed = entry
        forgetLife()
        listener.onNewLife(this)
        wake()
    }

    private fun forgetLife() {
        isClaimed = false
        processedEnd = 0
        acknowledgedEnd = 0
        pendingEnds.clear()
        highestDeadlineMs = 0
    }

    /** Ends all runs: this life of the worker is over, or its leases have run out. */
    fun endLife(reason: String) {
        forgetLife()
        runs.values.toList().forEach { listener.onGone(it, reason) }
    }

    private companion object {
        // Upper bound of a missed wake-up.
        const val IDLE_CHECK_MS = 5_000L
        const val RETRY_MS = 150L
        const val YOUNG_MS = 2_500
        const val YOUNG_LOOK_MS = 700
        const val QUICK_RETRY_MS = 3_000L
        const val SLOW_RETRY_MS = 500L

        // Two lost calls are survived; after that the work is better started elsewhere.
        const val EXTENDED_UNREACHED_MS = 1_500L

        // Leases are still extended this often while the store does not take ends.
        const val UNSTORED_PAUSE_MS = 1_000L

        // Time that an order may be on its way after its deadline was computed.
        const val LAPSE_MARGIN_MS = 300L
    }
}
