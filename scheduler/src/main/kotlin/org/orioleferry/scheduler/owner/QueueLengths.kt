package org.orioleferry.scheduler.owner

import kotlinx.coroutines.delay
import org.orioleferry.scheduler.store.CommitResult
import org.orioleferry.scheduler.store.RowCondition
import org.orioleferry.scheduler.store.RowTransaction
import org.orioleferry.scheduler.store.RowWrite
import org.orioleferry.scheduler.store.Rows
import org.orioleferry.scheduler.store.WaitingJobs

/**
 * Publishes the number of jobs of each queue that have not begun, for the instances that answer callers, and determines
 * the workspaces that may add no open work.
 */
internal class QueueLengths(
    private val dependencies: OwnerDependencies,
    private val ownership: Ownership,
    private val jobRegistry: JobRegistry,
) {
    /** Store time of the last committed write, or 0 before it, and the local monotonic time of its receipt. */
    private var storeMs = 0L
    private var storeReadAtMs = 0L

    suspend fun publish() {
        while (true) {
            val waitingJobsByQueue =
                jobRegistry.activeJobs
                    .filter { !it.hasBegun }
                    .groupingBy { it.accepted.spec.queue }
                    .eachCount()
            ownership.saturatedWorkspaces = OpenWork.saturatedWorkspaces(jobRegistry.activeJobs)
            if (ownership.canDecide) publish(waitingJobsByQueue)
            delay(PERIOD_MS)
        }
    }

    private suspend fun publish(waitingJobsByQueue: Map<String, Int>) {
        val now = dependencies.clock.monotonicMs()
        val asOfMs = if (storeMs == 0L) 0 else storeMs + now - storeReadAtMs
        val value = Rows.json.encodeToString(WaitingJobs.serializer(), WaitingJobs(asOfMs, waitingJobsByQueue))
        val write =
            RowTransaction(
                listOf(RowCondition(Rows.fence, ownership.fenceVersion)),
                listOf(RowWrite(Rows.queueLengths, value)),
            )
        val result = dependencies.store.commit(write)
        if (result is CommitResult.Committed) {
            storeMs = result.storeMs
            storeReadAtMs = dependencies.clock.monotonicMs()
        }
    }

    private companion object {
        // Callers may see a value that is up to 2 s old.
        const val PERIOD_MS = 800L
    }
}
