package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import org.orioleferry.coordination.upstream.UpstreamEvidence
import org.orioleferry.core.gang.MemberObservation
import org.orioleferry.core.gang.MemberPhase
import org.orioleferry.core.gang.StopCause
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.Member
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerLease

/** States of a lease as workers report them. */
internal object LeaseStates {
    const val RESERVED = "reserved"
    const val RUNNING = "running"
    const val DONE = "done"
    const val FAILED = "failed"
}

/** The lease of one member: sends the owner's commands and keeps what is known of the task. */
internal class MemberHandle(
    private val term: TermContext,
    private val record: JobRecord,
    val member: Member,
) {
    var phase: MemberPhase =
        when {
            record.state == JobState.QUEUED -> MemberPhase.ABSENT
            member.leaseId in record.finishedLeases -> MemberPhase.DONE
            else -> MemberPhase.RUNNING
        }
        private set
    var failedProbes: Int = 0
        private set

    /** Whether the member was taken over and not yet looked at. */
    var isFresh: Boolean = record.state != JobState.QUEUED
        private set

    /** Whether the worker's accelerators are held, or may be. */
    var isHolding: Boolean = true
        private set
    private var completedMs = 0L
    private var leaseEndsMs = term.clock.monotonicMs() + term.settings.taskLeaseTtlMs
    private val settings get() = term.settings

    fun observation(): MemberObservation = MemberObservation(member, phase, completedMs)

    /** Reserves the accelerators; a refusal or a missing answer is the cause to stop the gang. */
    suspend fun reserve(): StopCause? {
        val result =
            command {
                phase = MemberPhase.RESERVED
                extend()
                reserve(
                    term.authority.fence,
                    member.leaseId,
                    record.jobId,
                    record.attempt,
                    member.accelerators,
                    settings.taskLeaseTtlMs,
                )
            }
        if (result is LeaseResult.Refused) {
            phase = MemberPhase.ABSENT
            isHolding = false
        }
        return causeOf(result, LeaseStates.RESERVED)
    }

    /** Starts the task; anything but a running task is the cause to stop the gang. */
    suspend fun start(): StopCause? {
        val workMs = (record.workMs - record.completedMs).coerceAtLeast(0)
        val result =
            command {
                phase = MemberPhase.RUNNING
                start(term.authority.fence, member.leaseId, workMs)
            }
        if (phase == MemberPhase.FAILED) return StopCause.TaskFailed(listOf(member.worker))
        return if (phase == MemberPhase.DONE) null else causeOf(result, LeaseStates.RUNNING)
    }

    /** Extends the lease and learns the state of the task. Allowed to an unconfirmed owner. */
    suspend fun renew() {
        if (phase != MemberPhase.RUNNING) return
        isFresh = false
        val result =
            command(isRenewal = true) {
                extend()
                renew(term.authority.fence, member.leaseId, settings.taskLeaseTtlMs)
            }
        when (result) {
            is LeaseResult.Missing, is LeaseResult.Refused -> phase = MemberPhase.LOST
            is LeaseResult.Unavailable -> if (failedProbes >= settings.probeLimit) phase = MemberPhase.LOST
            else -> Unit
        }
    }

    /** Asks the task to keep its progress. */
    suspend fun checkpoint() {
        if (phase == MemberPhase.RUNNING) command { checkpoint(term.authority.fence, member.leaseId) }
    }

    /** Returns once the task cannot run any more: the worker says so, or its lease has lapsed for certain. */
    suspend fun stop() {
        while (isHolding && phase != MemberPhase.ABSENT && phase != MemberPhase.DONE) {
            val result = command { stop(term.authority.fence, member.leaseId) }
            val hasLapsed = term.clock.monotonicMs() >= leaseEndsMs + settings.leaseMarginMs
            if (result is LeaseResult.Unavailable && !hasLapsed) {
                delay(settings.probePeriodMs / PROBES_WHILE_STOPPING)
            } else {
                phase = phaseAfterStop(result)
                release()
            }
        }
        release()
    }

    private fun phaseAfterStop(result: LeaseResult): MemberPhase =
        when {
            phase == MemberPhase.DONE || phase == MemberPhase.FAILED -> phase
            result is LeaseResult.Applied || phase == MemberPhase.RESERVED -> MemberPhase.STOPPED
            else -> MemberPhase.LOST
        }

    /** Tells the worker that the outcome is recorded. One try: a finished lease holds nothing. */
    suspend fun forget() {
        release()
        if (phase == MemberPhase.DONE) command { stop(term.authority.fence, member.leaseId) }
    }

    private fun release() {
        if (!isHolding) return
        isHolding = false
        term.wake()
    }

    private fun extend() {
        leaseEndsMs = term.clock.monotonicMs() + settings.taskLeaseTtlMs
    }

    private suspend fun command(
        isRenewal: Boolean = false,
        send: suspend WorkerClient.() -> LeaseResult,
    ): LeaseResult {
        if (!isRenewal) term.authority.awaitOwner()
        val client = term.fleet.claimedClient(member.worker)
        if (isRenewal) term.authority.requireTerm() else term.authority.awaitOwner()
        val result = client?.send() ?: LeaseResult.Unavailable("not reachable")
        observe(result)
        return result
    }

    private fun observe(result: LeaseResult) {
        when (result) {
            is LeaseResult.Unavailable -> {
                failedProbes++
                term.fleet.report(member.worker, UpstreamEvidence.UNREACHABLE)
            }

            is LeaseResult.StaleEpoch -> term.authority.depose()
            is LeaseResult.Applied -> {
                failedProbes = 0
                term.fleet.report(member.worker, UpstreamEvidence.ANSWERED)
                note(result.lease)
            }

            else -> failedProbes = 0
        }
    }

    private fun note(lease: WorkerLease) {
        completedMs = maxOf(completedMs, lease.completedMs)
        if (phase != MemberPhase.RUNNING && phase != MemberPhase.LOST) return
        when (lease.state) {
            LeaseStates.DONE -> {
                phase = MemberPhase.DONE
                term.fleet.report(member.worker, UpstreamEvidence.WORK_SUCCEEDED)
                release()
            }

            LeaseStates.FAILED -> {
                phase = MemberPhase.FAILED
                term.fleet.report(member.worker, UpstreamEvidence.WORK_FAILED)
            }

            LeaseStates.RESERVED -> phase = MemberPhase.LOST
            else -> Unit
        }
    }

    private fun causeOf(
        result: LeaseResult,
        expected: String,
    ): StopCause? {
        if (result is LeaseResult.Applied && result.lease.state == expected) return null
        term.fleet.avoid(member.worker)
        val refusal = (result as? LeaseResult.Refused)?.reason
        if (refusal == "leaving") term.fleet.report(member.worker, UpstreamEvidence.LEAVING)
        return StopCause.NotStarted(member.worker, refusal ?: "no answer")
    }

    private companion object {
        // Freed accelerators are waited for, so a stop is repeated sooner than a probe.
        const val PROBES_WHILE_STOPPING = 5
    }
}
