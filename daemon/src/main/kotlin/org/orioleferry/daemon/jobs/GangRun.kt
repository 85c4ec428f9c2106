package org.orioleferry.daemon.jobs

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.event.EventType
import org.orioleferry.core.gang.GangStep
import org.orioleferry.core.gang.MemberObservation
import org.orioleferry.core.gang.MemberPhase
import org.orioleferry.core.gang.StopCause
import org.orioleferry.core.gang.afterStop
import org.orioleferry.core.gang.nextStep
import org.orioleferry.core.gang.toDone
import org.orioleferry.core.gang.toRunning
import org.orioleferry.core.gang.toStarting
import org.orioleferry.core.gang.toStopping
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Member
import org.orioleferry.core.model.WorkerId

/**
 * Drives one attempt of a job from its placement to its end. All calls run on the domain's single thread.
 *
 * @property held the row; a row in `queued` is started on [planned], any other is taken over.
 */
internal class GangRun(
    private val term: TermContext,
    held: HeldJob,
    planned: List<Member> = held.record.members,
) {
    var held: HeldJob = held
        private set
    val members: List<MemberHandle> =
        planned.map { MemberHandle(term, held.record, it) }
    val startedMs: Long = term.clock.monotonicMs()

    // A run that is taken over is as old as its row says. Counted as new, it would be looked at every 200 ms at first,
    // which is 10 calls for each task within 2 s of a takeover.
    private val ageAtStartMs =
        held.record.startedWallMs
            ?.let { term.clock.wallMs() - it }
            ?.coerceAtLeast(0) ?: 0
    var isStopping: Boolean = held.record.state == JobState.STOPPING
        private set
    private var isGone = false
    private val stopRequests = Channel<StopCause>(Channel.CONFLATED)
    private val writing = Mutex()

    /** Asks for the gang to be stopped at its next step. The first request wins. */
    fun requestStop(cause: StopCause) {
        if (!isStopping) stopRequests.trySend(cause)
    }

    /** Runs until the row is queued again or final, and returns it; null when the row is gone. */
    suspend fun run(): HeldJob? {
        when (held.record.state) {
            JobState.QUEUED -> start()
            JobState.STARTING -> completeStart()
            JobState.RUNNING -> watch(null)
            else -> stop(StopCause.Recovered)
        }
        return held.takeUnless { isGone }
    }

    private suspend fun start() {
        val listed = members.map { it.member }
        val isWritten =
            write { row ->
                val isStartable = row.state == JobState.QUEUED && !row.cancelRequested
                row.takeIf { isStartable }?.toStarting(listed, term.authority.epoch)
            }
        if (!isWritten) return
        term.emit(EventType.JOB_STARTING, held.record)
        val refusal = each { it.reserve() }.firstNotNullOfOrNull { it }
        val request = refusal ?: stopRequests.tryReceive().getOrNull()
        val cause = request ?: each { it.start() }.firstNotNullOfOrNull { it }
        if (cause != null) stop(cause) else confirmRunning()
    }

    private suspend fun completeStart() {
        each { it.renew() }
        val isWhole = members.all { it.phase == MemberPhase.RUNNING || it.phase == MemberPhase.DONE }
        if (isWhole) confirmRunning() else stop(StopCause.Recovered)
    }

    // Leases are renewed while the row waits for the store, so that an outage does not stop a gang that runs whole.
    private suspend fun confirmRunning() {
        val wallMs = term.clock.wallMs()
        coroutineScope {
            val committing =
                launch {
                    if (write { it.toRunning(term.authority.epoch, wallMs) }) {
                        term.emit(EventType.JOB_RUNNING, held.record)
                    }
                }
            watch(committing)
        }
    }

    private suspend fun watch(committing: Job?): Unit =
        coroutineScope {
            var persisting: Job? = committing
            while (true) {
                val request = withTimeoutOrNull(pauseMs()) { stopRequests.receive() }
                if (request != null) return@coroutineScope stop(request)
                each { it.renew() }
                when (val step = nextStep(observations())) {
                    GangStep.Finish -> return@coroutineScope finish()
                    is GangStep.Stop -> return@coroutineScope stop(step.cause)
                    GangStep.Watch -> if (persisting?.isActive != true) persisting = launch { persistFinished() }
                }
            }
        }

    /** Short runs are looked at often and long ones rarely, so that detecting the end adds at most a tenth. */
    private fun pauseMs(): Long {
        if (members.any { it.failedProbes > 0 }) return term.settings.probePeriodMs
        val elapsedMs = term.clock.monotonicMs() - startedMs + ageAtStartMs
        val longestMs = term.settings.taskLeaseTtlMs / RENEWALS_PER_TTL
        return if (members.all { it.isFresh }) 0 else (elapsedMs / LOOKS_PER_RUN).coerceIn(SHORTEST_PAUSE_MS, longestMs)
    }

    private suspend fun persistFinished() {
        val finished = members.filter { it.phase == MemberPhase.DONE }.map { it.member.leaseId }
        write { row -> row.copy(finishedLeases = finished).takeIf { it != row } }
    }

    private suspend fun finish() {
        val wallMs = term.clock.wallMs()
        write { it.toDone(wallMs) }
        settled()
    }

    private suspend fun stop(cause: StopCause) {
        val wasMarked = isStopping
        isStopping = true
        coroutineScope {
            if (!wasMarked) launch { write { it.toStopping(cause) } }
            if (cause is StopCause.Preempted) {
                withTimeoutOrNull(term.settings.reclaimGraceMs) { each { it.checkpoint() } }
            }
            each { it.stop() }
        }
        term.wake()
        val wallMs = term.clock.wallMs()
        val rules = term.stopRules(held.record)
        write { it.afterStop(observations(), rules, wallMs) }
        settled()
    }

    private suspend fun settled() {
        if (!held.record.state.isFinal) return term.emit(EventType.JOB_REQUEUED, held.record)
        val type =
            when (held.record.state) {
                JobState.DONE -> EventType.JOB_DONE
                JobState.CANCELLED -> EventType.JOB_CANCELLED
                else -> EventType.JOB_FAILED
            }
        term.emit(type, held.record)
        each { it.forget() }
    }

    private fun observations(): List<MemberObservation> = members.map { it.observation() }

    private suspend fun write(change: (JobRecord) -> JobRecord?): Boolean =
        writing.withLock {
            when (val result = term.writer.update(held, change)) {
                is WriteResult.Written -> {
                    held = result.held
                    true
                }

                is WriteResult.Declined -> {
                    result.held?.let { held = it }
                    isGone = result.held == null
                    false
                }
            }
        }

    private suspend fun <T> each(action: suspend (MemberHandle) -> T): List<T> =
        coroutineScope { members.map { async { action(it) } }.awaitAll() }

    /** Workers that hold accelerators for this gang, with the amounts. */
    fun holdings(): List<Pair<WorkerId, Int>> =
        members.filter { it.isHolding }.map { it.member.worker to it.member.accelerators }

    private companion object {
        // Two renewals in a row may be lost before a lease lapses.
        const val RENEWALS_PER_TTL = 3
        const val LOOKS_PER_RUN = 10
        const val SHORTEST_PAUSE_MS = 200L
    }
}
