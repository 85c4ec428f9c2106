package org.orioleferry.standins

import kotlinx.coroutines.delay
import org.orioleferry.core.Clock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.Execution
import org.orioleferry.platform.Fence
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.WorkerStatus

/**
 * Simulation of a worker: slots for requests, fenced leases on accelerators and a log of all executions.
 *
 * Leases lapse and tasks end at their exact times by [clock], whenever the state is read after that. The class is safe
 * for concurrent use.
 *
 * @property behaviour returns the faults in force at the time of a call.
 */
public class SimulatedWorker(
    public val specification: WorkerSpecification,
    private val clock: Clock,
    private val behaviour: () -> WorkerBehaviour = { WorkerBehaviour() },
) {
    private val lock = Any()
    private val log = ExecutionLog(specification.id.value, clock)
    private val requests = RequestLedger(specification.slots, log)
    private val leases = LeaseTable(specification.accelerators, log)
    private val epochs = mutableMapOf<DataCentre, Epoch>()

    /** Identifier of the worker. */
    public val id: String get() = specification.id.value

    /** The worker's description and load. */
    public fun status(): WorkerStatus = withCurrentState { nowMs -> statusAt(nowMs) }

    /**
     * Runs a request on a slot and returns when it has ended. The request goes on when the caller is cancelled.
     * The result is [DispatchResult.Answered], [DispatchResult.NotRun] or [DispatchResult.Failed].
     */
    public suspend fun run(request: WorkerRequest): DispatchResult {
        val (admission, nowMs) = withCurrentState { nowMs -> requests.admit(request, behaviour(), nowMs) to nowMs }
        return when (admission) {
            is Admission.Refused -> DispatchResult.NotRun(admission.reason)
            is Admission.Started -> {
                val record = admission.record
                delay(record.endsMs - nowMs)
                withCurrentState { requests.end(record) }
                record.toDispatchResult()
            }
        }
    }

    /** Prevents [requestId] from starting from now on and returns the outcome that it has had so far. */
    public fun seal(requestId: String): SealResult = withCurrentState { requests.seal(requestId) }

    /** Raises the highest epoch seen for the domain. */
    public fun claim(fence: Fence): ClaimResult =
        withCurrentState { nowMs ->
            val highest = raiseEpoch(fence)
            if (highest > fence.epoch) ClaimResult.StaleEpoch(highest) else ClaimResult.Claimed(statusAt(nowMs))
        }

    /** Reserves accelerators; a repeat with the same [leaseId] has no further effect. */
    public fun reserve(
        fence: Fence,
        leaseId: String,
        jobId: JobId,
        attempt: Int,
        accelerators: Int,
        ttlMs: Long,
    ): LeaseResult =
        fenced(fence) { nowMs ->
            leases.reserve(Reservation(leaseId, jobId, attempt, accelerators, ttlMs), behaviour(), nowMs)
        }

    /** Starts the task of a reserved lease, which ends after [workMs] at full speed. */
    public fun start(
        fence: Fence,
        leaseId: String,
        workMs: Long,
    ): LeaseResult = fenced(fence) { nowMs -> leases.start(leaseId, workMs, behaviour(), nowMs) }

    /** Extends a lease to [ttlMs] from now. */
    public fun renew(
        fence: Fence,
        leaseId: String,
        ttlMs: Long,
    ): LeaseResult = fenced(fence) { nowMs -> leases.renew(leaseId, ttlMs, nowMs) }

    /** Saves the progress that the task has made. */
    public fun checkpoint(
        fence: Fence,
        leaseId: String,
    ): LeaseResult = fenced(fence) { nowMs -> leases.checkpoint(leaseId, behaviour(), nowMs) }

    /** Runs the task at [share] of its full speed from now on. */
    public fun throttle(
        fence: Fence,
        leaseId: String,
        share: Double,
    ): LeaseResult = fenced(fence) { nowMs -> leases.throttle(leaseId, share, nowMs) }

    /** Stops the task and frees the accelerators. */
    public fun stop(
        fence: Fence,
        leaseId: String,
    ): LeaseResult = fenced(fence) { nowMs -> leases.stop(leaseId, nowMs) }

    /** Returns all executions of this worker. */
    public fun executions(): List<Execution> = withCurrentState { log.toList() }

    /** Runs [block] under the lock, after ending all requests, tasks and leases that are due by now. */
    private fun <T> withCurrentState(block: (nowMs: Long) -> T): T =
        synchronized(lock) {
            val nowMs = clock.monotonicMs()
            requests.advanceTo(nowMs)
            leases.advanceTo(nowMs)
            block(nowMs)
        }

    private fun fenced(
        fence: Fence,
        block: (nowMs: Long) -> LeaseResult,
    ): LeaseResult =
        withCurrentState { nowMs ->
            val highest = raiseEpoch(fence)
            if (highest > fence.epoch) LeaseResult.StaleEpoch(highest) else block(nowMs)
        }

    private fun raiseEpoch(fence: Fence): Epoch {
        val highest = maxOf(epochs[fence.domain] ?: Epoch.NONE, fence.epoch)
        epochs[fence.domain] = highest
        return highest
    }

    private fun statusAt(nowMs: Long): WorkerStatus =
        WorkerStatus(
            id = specification.id,
            dataCentre = specification.dataCentre,
            rack = specification.rack,
            slots = specification.slots,
            slotsInUse = requests.slotsInUse,
            accelerators = specification.accelerators,
            cores = specification.cores,
            memoryMb = specification.memoryMb,
            state = if (behaviour().isLeaving) ListedInstance.STATE_LEAVING else ListedInstance.STATE_LIVE,
            epoch = epochs[specification.dataCentre] ?: Epoch.NONE,
            leases = leases.toList(nowMs),
        )
}
