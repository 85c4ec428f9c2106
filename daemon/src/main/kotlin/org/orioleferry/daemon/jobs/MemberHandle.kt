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

/** Sends the owner's commands for the lease of one member, and tracks the state of its task. */
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

    /** Whether the member was taken over and has not been polled yet. */
    var isUnpolled: Boolean = record.state != JobState.QUEUED
        private set

    /** Whether the lease holds, or may hold, accelerators of the worker. */
    var isHoldingAccelerators: Boolean = true
        private set
    private var completedMs = 0L
    private var leaseEndsMs = term.clock.monotonicMs() + term.settings.taskLeaseTtlMs
    private val settings get() = term.settings

    fun observation(): MemberObservation = MemberObservation(member, phase, completedMs)

    /** Reserves the accelerators. Returns a cause to stop the gang after a refusal or a missing answer. */
    suspend fun reserve(): StopCause? {
        val result =
            command {
                phase = MemberPhase.RESERVED
                extendLease()
                reserve(
                    term.guard.fence,
                    member.leaseId,
                    record.jobId,
                    record.attempt,
                    member.accelerators,
                    settings.taskLeaseTtlMs,
                )
            }
        if (result is LeaseResult.Refused) {
            phase = MemberPhase.ABSENT
            isHoldingAccelerators = false
        }
        return stopCauseOf(result, LeaseStates.RESERVED)
    }

    /** Starts the task. Returns a cause to stop the gang unless the task is running or done. */
    suspend fun start(): StopCause? {
        val workMs = (record.workMs - record.completedMs).coerceAtLeast(0)
        val result =
            command {
                phase = MemberPhase.RUNNING
                start(term.guard.fence, member.leaseId, workMs)
            }
        if (phase == MemberPhase.FAILED) return StopCause.TaskFailed(listOf(member.worker))
        return if (phase == MemberPhase.DONE) null else stopCauseOf(result, LeaseStates.RUNNING)
    }

    /** Renews the lease and updates the state of the task. Allowed while the ownership is unconfirmed. */
    suspend fun renew() {
        if (phase != MemberPhase.RUNNING) return
        isUnpolled = false
        val result =
            command(isRenewal = true) {
                extendLease()
                renew(term.guard.fence, member.leaseId, settings.taskLeaseTtlMs)
            }
        when (result) {
            is LeaseResult.Missing, is LeaseResult.Refused -> phase = MemberPhase.LOST
            is LeaseResult.Unavailable -> if (failedProbes >= settings.probeLimit) phase = MemberPhase.LOST
            else -> Unit
        }
    }

    /** Asks the worker to checkpoint the task. */
    suspend fun checkpoint() {
        if (phase == MemberPhase.RUNNING) command { checkpoint(term.guard.fence, member.leaseId) }
    }

    /** Stops the task. Returns when it can no longer run: the worker answered, or the lease has certainly expired. */
    suspend fun stop() {
        while (isHoldingAccelerators && phase != MemberPhase.ABSENT && phase != MemberPhase.DONE) {
            val result = command { stop(term.guard.fence, member.leaseId) }
            val hasExpired = term.clock.monotonicMs() >= leaseEndsMs + settings.leaseMarginMs
            if (result is LeaseResult.Unavailable && !hasExpired) {
                delay(settings.probePeriodMs / STOP_TRIES_PER_PROBE_PERIOD)
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

    /** Tells the worker that the outcome is recorded. Tries once, since a finished lease holds no accelerators. */
    suspend fun acknowledgeOutcome() {
        release()
        if (phase == MemberPhase.DONE) command { stop(term.guard.fence, member.leaseId) }
    }

    private fun release() {
        if (!isHoldingAccelerators) return
        isHoldingAccelerators = false
        term.wake()
    }

    private fun extendLease() {
        leaseEndsMs = term.clock.monotonicMs() + settings.taskLeaseTtlMs
    }

    private suspend fun command(
        isRenewal: Boolean = false,
        send: suspend WorkerClient.() -> LeaseResult,
    ): LeaseResult {
        if (!isRenewal) term.guard.awaitConfirmedOwnership()
        val client = term.fleet.ensureClaimed(member.worker)
        if (isRenewal) term.guard.requireCurrentTerm() else term.guard.awaitConfirmedOwnership()
        val result = client?.send() ?: LeaseResult.Unavailable("not reachable")
        recordResult(result)
        return result
    }

    private fun recordResult(result: LeaseResult) {
        when (result) {
            is LeaseResult.Unavailable -> {
                failedProbes++
                term.fleet.report(member.worker, UpstreamEvidence.UNREACHABLE)
            }

            is LeaseResult.StaleEpoch -> term.guard.failSuperseded()
            is LeaseResult.Applied -> {
                failedProbes = 0
                term.fleet.report(member.worker, UpstreamEvidence.ANSWERED)
                applyLeaseState(result.lease)
            }

            else -> failedProbes = 0
        }
    }

    private fun applyLeaseState(lease: WorkerLease) {
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

    private fun stopCauseOf(
        result: LeaseResult,
        expected: String,
    ): StopCause? {
        if (result is LeaseResult.Applied && result.lease.state == expected) return null
        term.fleet.backOff(member.worker)
        val refusal = (result as? LeaseResult.Refused)?.reason
        if (refusal == "leaving") term.fleet.report(member.worker, UpstreamEvidence.LEAVING)
        return StopCause.NotStarted(member.worker, refusal ?: "no answer")
    }

    private companion object {
        // A stop is repeated sooner than a probe, since other jobs wait for the accelerators.
        const val STOP_TRIES_PER_PROBE_PERIOD = 5
    }
}
