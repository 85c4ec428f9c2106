package org.orioleferry.daemon.jobs

import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
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
import org.orioleferry.core.gang.decideNextStep
import org.orioleferry.core.gang.toDone
import org.orioleferry.core.gang.toRunning
import org.orioleferry.core.gang.toStarting
import org.orioleferry.core.gang.toStopped
import org.orioleferry.core.gang.toStopping
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Member
import org.orioleferry.core.model.WorkerId

/**
 * Runs one attempt of a job from its placement to its end. All calls run on the single thread of the domain.
 *
 * @property job the current row; a queued job is started on [planned], a job in any other state is taken over.
 */
internal class GangRun(
    private val term: TermContext,
    job: VersionedJob,
    planned: List<Member> = job.record.members,
) {
    var job: VersionedJob = job
        private set
    val members: List<MemberHandle> =
        planned.map { MemberHandle(term, job.record, it) }
    val startedMs: Long = term.clock.monotonicMs()

    // The age of a run that is taken over comes from its row. If the run counted as new, it would be polled every
    // 200 ms at first, which makes 10 calls for each task within 2 s of a takeover.
    private val ageAtStartMs =
        job.record.startedWallMs
            ?.let { term.clock.wallMs() - it }
            ?.coerceAtLeast(0) ?: 0
    var isStopping: Boolean = job.record.state == JobState.STOPPING
        private set
    private var isRowMissing = false
    private val stopSignal = StopSignal()
    private val writeLock = Mutex()

    /** Requests that the gang stops at its next step. Has no effect on a gang that is already stopping. */
    fun requestStop(cause: StopCause) {
        if (!isStopping) stopSignal.request(cause)
    }

    /** Runs until the job is queued again or final, and returns its row; null when the row no longer exists. */
    suspend fun run(): VersionedJob? {
        when (job.record.state) {
            JobState.QUEUED -> start()
            JobState.STARTING -> completeStart()
            JobState.RUNNING -> watch(null)
            else -> stop(StopCause.Recovered)
        }
        return job.takeUnless { isRowMissing }
    }

    private suspend fun start() {
        val listed = members.map { it.member }
        val isWritten =
            write { row ->
                val isStartable = row.state == JobState.QUEUED && !row.cancelRequested
                row.takeIf { isStartable }?.toStarting(listed, term.guard.epoch)
            }
        if (!isWritten) return
        term.emit(EventType.JOB_STARTING, job.record)
        val refusal = onEachMember { it.reserve() }.firstNotNullOfOrNull { it }
        val request = refusal ?: stopSignal.take()
        val cause = request ?: onEachMember { it.start() }.firstNotNullOfOrNull { it }
        if (cause != null) stop(cause) else confirmRunning()
    }

    private suspend fun completeStart() {
        onEachMember { it.renew() }
        val isGangStarted = members.all { it.phase == MemberPhase.RUNNING || it.phase == MemberPhase.DONE }
        if (isGangStarted) confirmRunning() else stop(StopCause.Recovered)
    }

    // Renews the leases while the write waits for the store, so that an outage does not stop a fully started gang.
    private suspend fun confirmRunning() {
        val wallMs = term.clock.wallMs()
        coroutineScope {
            val runningWrite =
                launch {
                    if (write { it.toRunning(term.guard.epoch, wallMs) }) {
                        term.emit(EventType.JOB_RUNNING, job.record)
                    }
                }
            watch(runningWrite)
        }
    }

    private suspend fun watch(runningWrite: Job?): Unit =
        coroutineScope {
            var pendingWrite: Job? = runningWrite
            while (true) {
                val request = stopSignal.await(nextPauseMs())
                if (request != null) return@coroutineScope stop(request)
                onEachMember { it.renew() }
                when (val step = decideNextStep(observations())) {
                    GangStep.Finish -> return@coroutineScope finish()
                    is GangStep.Stop -> return@coroutineScope stop(step.cause)
                    GangStep.Monitor -> if (pendingWrite?.isActive != true) pendingWrite = launch { persistFinished() }
                }
            }
        }

    /** Pause before the next poll, a tenth of the run time so far, so that detecting the end adds at most a tenth. */
    private fun nextPauseMs(): Long {
        if (members.any { it.failedProbes > 0 }) return term.settings.probePeriodMs
        val elapsedMs = term.clock.monotonicMs() - startedMs + ageAtStartMs
        val maxPauseMs = term.settings.taskLeaseTtlMs / RENEWALS_PER_TTL
        return if (members.all { it.isUnpolled }) 0 else (elapsedMs / POLLS_PER_RUN).coerceIn(MIN_PAUSE_MS, maxPauseMs)
    }

    private suspend fun persistFinished() {
        val finished = members.filter { it.phase == MemberPhase.DONE }.map { it.member.leaseId }
        write { row -> row.copy(finishedLeases = finished).takeIf { it != row } }
    }

    private suspend fun finish() {
        val wallMs = term.clock.wallMs()
        write { it.toDone(wallMs) }
        reportOutcome()
    }

    private suspend fun stop(cause: StopCause) {
        val wasStopping = isStopping
        isStopping = true
        coroutineScope {
            if (!wasStopping) launch { write { it.toStopping(cause) } }
            if (cause is StopCause.Preempted) {
                withTimeoutOrNull(term.settings.reclaimGraceMs) { onEachMember { it.checkpoint() } }
            }
            onEachMember { it.stop() }
        }
        term.wake()
        val wallMs = term.clock.wallMs()
        val rules = term.stopRules(job.record)
        write { it.toStopped(observations(), rules, wallMs) }
        reportOutcome()
    }

    private suspend fun reportOutcome() {
        if (!job.record.state.isFinal) return term.emit(EventType.JOB_REQUEUED, job.record)
        val type =
            when (job.record.state) {
                JobState.DONE -> EventType.JOB_DONE
                JobState.CANCELLED -> EventType.JOB_CANCELLED
                else -> EventType.JOB_FAILED
            }
        term.emit(type, job.record)
        onEachMember { it.acknowledgeOutcome() }
    }

    private fun observations(): List<MemberObservation> = members.map { it.observation() }

    private suspend fun write(change: (JobRecord) -> JobRecord?): Boolean =
        writeLock.withLock {
            when (val result = term.writer.update(job, change)) {
                is WriteResult.Written -> {
                    job = result.job
                    true
                }

                is WriteResult.Declined -> {
                    result.job?.let { job = it }
                    isRowMissing = result.job == null
                    false
                }
            }
        }

    private suspend fun <T> onEachMember(action: suspend (MemberHandle) -> T): List<T> =
        coroutineScope { members.map { async { action(it) } }.awaitAll() }

    /** Workers whose accelerators this gang holds, with the number held on each. */
    fun heldAccelerators(): List<Pair<WorkerId, Int>> =
        members.filter { it.isHoldingAccelerators }.map { it.member.worker to it.member.accelerators }

    private companion object {
        // Two renewals in a row may be lost before a lease expires.
        const val RENEWALS_PER_TTL = 3
        const val POLLS_PER_RUN = 10
        const val MIN_PAUSE_MS = 200L
    }
}
