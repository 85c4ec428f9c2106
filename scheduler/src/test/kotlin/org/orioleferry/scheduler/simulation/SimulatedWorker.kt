package org.orioleferry.scheduler.simulation

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.Clock
import org.orioleferry.scheduler.model.Resources
import org.orioleferry.scheduler.workers.ListedWorker
import org.orioleferry.scheduler.workers.PresentRun
import org.orioleferry.scheduler.workers.RenewalResult
import org.orioleferry.scheduler.workers.RunEndRecord
import org.orioleferry.scheduler.workers.RunEnding
import org.orioleferry.scheduler.workers.RunId
import org.orioleferry.scheduler.workers.StartOrder
import org.orioleferry.scheduler.workers.StartRefusal
import org.orioleferry.scheduler.workers.StartResult
import org.orioleferry.scheduler.workers.StopResult
import org.orioleferry.scheduler.workers.TaskId
import kotlin.math.ceil
import kotlin.math.floor

/** Duration of a run of a task and how the run ends. A lasting run shows all of its progress after [startupMs]. */
data class Outcome(
    val workMs: Long,
    val ending: RunEnding = RunEnding.DONE,
    val startupMs: Long? = null,
)

/** A worker that follows the rules of the platform for runs, leases, ends and fencing tokens. */
class SimulatedWorker(
    val id: String,
    val rack: String,
    capacity: Resources,
    private val scope: CoroutineScope,
    private val clock: Clock,
    private val records: RunRecords,
    private val gangs: SimulatedGangs = SimulatedGangs { 0 },
    private val outcomeOf: (TaskId, Int) -> Outcome,
) {
    private class ActiveRun(
        val order: StartOrder,
        val outcome: Outcome,
        var beganMs: Long,
    )

    /** Data centre in which the directory lists the worker. */
    var dataCentre = "dc"
    private val runs = LinkedHashMap<RunId, ActiveRun>()
    private val ends = ArrayList<RunEndRecord>()
    private val closedAttempts = HashMap<TaskId, Int>()
    private var endNumber = 0L
    private var token = 0L
    private var deadlineMs = 0L
    private val endSignal = MutableStateFlow(0L)
    private var incarnation = 0

    /** Time after a crash for which the directory still shows the incarnation before, ms. */
    var listingLagMs = 0L
    private var crashedAtMs = Long.MIN_VALUE / 2

    /** Label that names the kind of the worker; each incarnation may be of another. */
    var kind = "a"
    private var kindBefore = kind
    private val isListedAsBefore: Boolean get() = clock.monotonicMs() - crashedAtMs < listingLagMs

    /** Rate of the worker's clock, on which its leases end. */
    var clockRate = 1.0

    /** Longest lease that the worker grants, ms; a longer one is shortened. */
    var maxHoldMs = 10_000L

    // The clock of each life begins at 0, so a deadline of an earlier life is far ahead on it.
    private var clockStartMs = 0L
    val clockMs: Long get() = ((clock.monotonicMs() - clockStartMs) * clockRate).toLong()

    /** Whether orders with a lower token than the highest seen are refused; off to show which faults that prevents. */
    var checksTokens = true

    /** Whether calls reach the worker. Its runs continue while they do not. */
    var isReachable = true

    /** Whether the worker refuses its next call, which it then ignores. */
    var refusesCall: () -> Boolean = { false }

    /** Whether the process has ended, so that its connections are closed and new ones are refused. */
    var isDown = false
        set(value) {
            field = value
            endSignal.value++
        }
    var isDraining = false

    /** Time until which the worker is listed as cold, on its clock, or null. */
    var coldUntilMs: Long? = null

    /** Announced time of leaving on the worker's clock, or null. */
    var leavesAtMs: Long? = null

    /** Whether runs make no progress while the worker answers as usual. */
    var isStalled = false

    /** Multiple of their time that runs take which start on the worker. */
    var slowdown = 1L
    private var frozenAtMs = -1L

    /** Suspends the worker: it neither answers nor works, while its clock goes on. */
    fun freeze() {
        isReachable = false
        frozenAtMs = clock.monotonicMs()
    }

    /** Ends the suspension; runs go on from where they were. */
    fun thaw() {
        runs.values.forEach { it.beganMs += clock.monotonicMs() - frozenAtMs }
        frozenAtMs = -1
        isReachable = true
    }

    /** Returns the time in ms after which a run crashes the worker, or null. The worker is back after [restartMs]. */
    var crashesAfterMs: (TaskId) -> Long? = { null }
    var restartMs = 3_200L

    /** Whether another worker answers at the address of this one, which is gone. */
    var isReplaced = false

    /** Called when a run has crashed the worker; by default it is back under its id after [restartMs]. */
    var onDeadlyRun: () -> Unit = {
        crash()
        isDown = true
        scope.launch {
            delay(restartMs)
            isDown = false
        }
    }

    /** Whether starts without room are refused; otherwise they are recorded as violations. */
    var refusesWithoutRoom = true

    /** Capacity, which may change while the worker runs. */
    var capacity = capacity
        set(value) {
            capacityBefore = field
            changedAtMs = clock.monotonicMs()
            field = value
        }
    private var capacityBefore = capacity
    private var changedAtMs = 0L

    /** Whether a start with [used] resources in all is over a capacity that the directory has had the time to show. */
    private fun isOver(used: Resources): Boolean {
        val isShown = clock.monotonicMs() - changedAtMs > CAPACITY_LAG_MS
        return !used.fitsIn(capacity) && (isShown || !used.fitsIn(capacityBefore))
    }

    /** Most ends in one listing. */
    var maxListedEnds = 500

    var needOf: (StartOrder) -> Resources = { Resources(1_000, 1_000, 1) }
    var startAnswersToDrop = 0

    /** Ticket that a start must carry, or null when none is needed. */
    var ticketFor: (TaskId) -> String? = { null }

    fun listed(): ListedWorker =
        ListedWorker(
            id,
            id,
            "pool",
            dataCentre,
            rack,
            setOf(if (isListedAsBefore) kindBefore else kind, rack),
            capacity,
            1_000L + if (isListedAsBefore) incarnation - 1 else incarnation,
            isDraining,
            leavesAtMs,
            coldUntilMs,
        )

    /** Ends the worker for good. The directory shows it on, and its connections are silent. */
    fun losePower() {
        isReachable = false
        dropRuns()
    }

    private fun dropRuns() {
        val lost = runs.keys.toList()
        lost.forEach { records.ended(it, id, RunEnding.STOPPED, clock.monotonicMs()) }
        runs.clear()
        lost.forEach { gangs.ended(it, RunEnding.STOPPED) }
        ends.clear()
    }

    /** The process ends and is back at once, as a worker of [nextKind]. */
    fun crash(nextKind: String = kind) {
        kindBefore = kind
        kind = nextKind
        dropRuns()
        closedAttempts.clear()
        endNumber = 0
        token = 0
        deadlineMs = 0
        incarnation++
        crashedAtMs = clock.monotonicMs()
        clockStartMs = crashedAtMs
    }

    fun start(order: StartOrder): StartResult {
        if (checksTokens && order.fence < token) return StartResult.Refused(StartRefusal.FENCED)
        token = maxOf(token, order.fence)
        if (order.deadlineMs <= clockMs) return StartResult.Refused(StartRefusal.LATE)
        extendLeases(order.deadlineMs)
        if (order.run in runs) return StartResult.Started(clockMs)
        if (order.run.attempt <=
            (closedAttempts[order.run.task] ?: 0)
        ) {
            return StartResult.Refused(StartRefusal.OLD_ATTEMPT)
        }
        val ticket = ticketFor(order.run.task)
        if (ticket != null && order.ticket != ticket) return StartResult.Refused(StartRefusal.NO_TICKET)
        val used = runs.values.fold(Resources()) { sum, run -> sum + needOf(run.order) }
        if (refusesWithoutRoom &&
            !needOf(order).fitsIn(capacity - used)
        ) {
            return StartResult.Refused(StartRefusal.NO_ROOM)
        }
        if (!refusesWithoutRoom &&
            isOver(used + needOf(order))
        ) {
            records.overCapacity(order.run, id, clock.monotonicMs())
        }
        val outcome = outcomeOf(order.run.task, order.run.attempt).let { it.copy(workMs = it.workMs * slowdown) }
        runs[order.run] = ActiveRun(order, outcome, clock.monotonicMs())
        records.started(order, id, clock.monotonicMs())
        gangs.arrived(order.run, this)
        scope.launch { work(order.run, outcome) }
        crashesAfterMs(order.run.task)?.let { afterMs -> scope.launch { crashAfter(order.run, afterMs) } }
        if (startAnswersToDrop > 0) {
            startAnswersToDrop--
            return StartResult.Unknown("answer lost")
        }
        return StartResult.Started(clockMs)
    }

    private fun extendLeases(newDeadlineMs: Long) {
        deadlineMs = maxOf(deadlineMs, minOf(newDeadlineMs, clockMs + maxHoldMs))
    }

    private suspend fun crashAfter(
        run: RunId,
        afterMs: Long,
    ) {
        delay(afterMs)
        if (run !in runs) return
        records.crashed(run.task)
        onDeadlyRun()
    }

    private suspend fun work(
        run: RunId,
        outcome: Outcome,
    ) {
        val startIncarnation = incarnation
        if (!awaitGang(run, startIncarnation)) return
        val state = runs[run] ?: return
        state.beganMs = clock.monotonicMs()
        while (incarnation == startIncarnation && run in runs) {
            val now = clock.monotonicMs()
            val endMs = state.beganMs + outcome.workMs
            val isWorking = !isStalled && frozenAtMs < 0
            if (clockMs >= deadlineMs) return end(run, RunEnding.LAPSED)
            if (now >= endMs && isWorking) return end(run, outcome.ending)
            val leaseLeftMs = ceil((deadlineMs - clockMs) / clockRate).toLong()
            delay(if (isWorking) minOf(endMs - now, leaseLeftMs) else STATE_CHECK_INTERVAL_MS)
        }
    }

    /**
     * Waits until all members of the gang are present. Returns false when the run ends first; a member that waits too
     * long ends as [RunEnding.ALONE].
     */
    private suspend fun awaitGang(
        run: RunId,
        startIncarnation: Int,
    ): Boolean {
        val limitMs = clock.monotonicMs() + GANG_WAIT_MS
        while (!gangs.isWhole(run)) {
            if (incarnation != startIncarnation || run !in runs) return false
            val now = clock.monotonicMs()
            if (clockMs >= deadlineMs) return false.also { end(run, RunEnding.LAPSED) }
            if (now >= limitMs) return false.also { end(run, RunEnding.ALONE) }
            delay(STATE_CHECK_INTERVAL_MS)
        }
        return incarnation == startIncarnation && run in runs
    }

    fun end(
        run: RunId,
        ending: RunEnding,
    ) {
        runs.remove(run) ?: return
        closedAttempts.merge(run.task, run.attempt, ::maxOf)
        ends += RunEndRecord(++endNumber, run, ending, "")
        records.ended(run, id, ending, clock.monotonicMs())
        endSignal.value = endSignal.value + 1
        gangs.ended(run, ending)
    }

    fun stop(
        run: RunId,
        fence: Long,
    ): StopResult {
        if (checksTokens && fence < token) return StopResult.FENCED
        token = maxOf(token, fence)
        closedAttempts.merge(run.task, run.attempt, ::maxOf)
        scope.launch {
            delay(STOP_DELAY_MS)
            end(run, RunEnding.STOPPED)
        }
        return StopResult.ACCEPTED
    }

    suspend fun renewLeases(
        fence: Long,
        lastSeen: Long,
        newDeadlineMs: Long?,
        waitMs: Int,
    ): RenewalResult {
        if (checksTokens && fence < token) return RenewalResult.Fenced
        token = maxOf(token, fence)
        newDeadlineMs?.let(::extendLeases)
        ends.filter { it.number <= lastSeen }.forEach { records.acknowledged(it.id, it.ending) }
        ends.removeAll { it.number <= lastSeen }
        if (ends.isEmpty() && waitMs > 0) {
            val seen = endSignal.value
            withTimeoutOrNull(waitMs.toLong()) { endSignal.first { it != seen } }
        }
        val present = runs.map { (run, state) -> PresentRun(run, "", percentOf(state)) }
        val listed = ends.take(maxListedEnds)
        val isFull = listed.size == maxListedEnds
        return RenewalResult.Renewed(clockMs, 1_000L + incarnation, present, listed, isFull)
    }

    /** Progress in whole percent, as the platform's workers list it. */
    private fun percentOf(state: ActiveRun): Double =
        if (isStalled) {
            0.0
        } else {
            val fullMs = state.outcome.startupMs ?: state.outcome.workMs
            minOf(100.0, floor(100.0 * (clock.monotonicMs() - state.beganMs) / maxOf(1, fullMs)))
        }

    private companion object {
        // The directory is read each 0.4 s; a change that is younger than this may not have been seen.
        const val CAPACITY_LAG_MS = 500L
        const val STOP_DELAY_MS = 100L
        const val STATE_CHECK_INTERVAL_MS = 50L

        // The shortest limit among the deployments.
        const val GANG_WAIT_MS = 3_000L
    }
}
