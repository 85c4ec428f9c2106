package org.orioleferry.bench.capacity

import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.Fence
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerAnswer
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerLease
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.WorkerStatus
import java.util.concurrent.atomic.AtomicLong

/** Counts calls to all [StatelessWorker]s of one measurement and sets the task state that they report. */
internal class WorkerCalls {
    val renewals = AtomicLong()
    val starts = AtomicLong()

    @Volatile
    var areTasksDone: Boolean = false
}

/** Worker that grants every call and stores nothing, so that the heap holds only the state of the daemon. */
internal class StatelessWorker(
    private val id: WorkerId,
    private val dataCentre: DataCentre,
    private val calls: WorkerCalls,
) : WorkerClient {
    private val status =
        WorkerStatus(
            id,
            dataCentre,
            "rack",
            slots = SLOTS,
            slotsInUse = 0,
            accelerators = ACCELERATORS,
            cores = SLOTS,
            memoryMb = SLOTS,
            state = ListedInstance.STATE_LIVE,
            epoch = Epoch.NONE,
            leases = emptyList(),
        )

    override suspend fun status(): ReadResult<WorkerStatus> = ReadResult.Found(status)

    override suspend fun dispatch(
        request: WorkerRequest,
        deadlineMs: Long,
    ): DispatchResult = DispatchResult.Answered(WorkerAnswer(request.requestId, "credited ${request.payload}"))

    override suspend fun seal(requestId: String): SealResult = SealResult.NeverRun

    override suspend fun claim(fence: Fence): ClaimResult = ClaimResult.Claimed(status)

    override suspend fun reserve(
        fence: Fence,
        leaseId: String,
        jobId: JobId,
        attempt: Int,
        accelerators: Int,
        ttlMs: Long,
    ): LeaseResult = appliedLease(leaseId, "reserved")

    override suspend fun start(
        fence: Fence,
        leaseId: String,
        workMs: Long,
    ): LeaseResult {
        calls.starts.incrementAndGet()
        return appliedLease(leaseId, "running")
    }

    override suspend fun renew(
        fence: Fence,
        leaseId: String,
        ttlMs: Long,
    ): LeaseResult {
        calls.renewals.incrementAndGet()
        return appliedLease(leaseId, if (calls.areTasksDone) "done" else "running")
    }

    override suspend fun checkpoint(
        fence: Fence,
        leaseId: String,
    ): LeaseResult = appliedLease(leaseId, "running")

    override suspend fun stop(
        fence: Fence,
        leaseId: String,
    ): LeaseResult = appliedLease(leaseId, "done")

    private fun appliedLease(
        leaseId: String,
        state: String,
    ): LeaseResult = LeaseResult.Applied(WorkerLease(leaseId, JobId("$dataCentre.any"), 1, 1, state, LEASE_MS))

    companion object {
        const val ACCELERATORS = 8
        private const val SLOTS = 8
        private const val LEASE_MS = 9_000L
    }
}
