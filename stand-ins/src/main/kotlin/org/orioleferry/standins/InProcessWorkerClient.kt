package org.orioleferry.standins

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.Fence
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.platform.WorkerStatus

/** Kind of a call to a worker. */
public enum class WorkerCallKind { STATUS, DISPATCH, SEAL, CLAIM, RESERVE, START, RENEW, CHECKPOINT, STOP }

/** A call to a worker. [subject] is the request or lease identifier, and empty for other calls. */
public data class WorkerCall(
    val worker: WorkerId,
    val kind: WorkerCallKind,
    val subject: String = "",
)

/** Fault before the effect of a call. */
public enum class CallFault {
    /** The call reaches the worker. */
    NONE,

    /** No connection opens: the call has no effect, and the caller knows it. */
    REFUSE,

    /** The call is lost in transit: it has no effect, and the caller does not know it. */
    FAIL,
}

/** Fault after the effect of a call. */
public enum class AnswerFault {
    /** The answer arrives. */
    NONE,

    /** The worker reports a failure of a request that ran. For other calls the answer is lost. */
    FAIL,

    /** The answer is lost. */
    LOSE,

    /** The answer to another call arrives. */
    CROSS,

    /** Only a part of the answer arrives. */
    TRUNCATE,
}

/** Decides the fault of a call before its effect. It may suspend to delay the call. */
public typealias CallFaultHook = suspend (call: WorkerCall) -> CallFault

/** Decides the fault of a call after its effect. It may suspend to delay the answer. */
public typealias AnswerFaultHook = suspend (call: WorkerCall) -> AnswerFault

/**
 * Calls a [SimulatedWorker] in the same process, with a deadline on every call.
 *
 * @property deadlineMs deadline in milliseconds of every call but [dispatch], which has its own.
 * @property scope when given, a call goes on in it after its deadline, so that a delayed call still reaches the worker
 * late. Without it a call that is delayed past its deadline never arrives.
 */
public class InProcessWorkerClient(
    private val worker: SimulatedWorker,
    private val scope: CoroutineScope? = null,
    private val deadlineMs: Long = DEFAULT_DEADLINE_MS,
    private val beforeEffect: CallFaultHook = { CallFault.NONE },
    private val afterEffect: AnswerFaultHook = { AnswerFault.NONE },
) : WorkerClient {
    override suspend fun status(): ReadResult<WorkerStatus> =
        call(WorkerCallKind.STATUS, "", { ReadResult.Unavailable(it) }) { ReadResult.Found(worker.status()) }

    override suspend fun dispatch(
        request: WorkerRequest,
        deadlineMs: Long,
    ): DispatchResult {
        val call = callOf(WorkerCallKind.DISPATCH, request.requestId)
        return withDeadline(deadlineMs) { deliver(call, request) }
            ?: DispatchResult.Unknown("no answer within $deadlineMs ms")
    }

    override suspend fun seal(requestId: String): SealResult =
        call(WorkerCallKind.SEAL, requestId, { SealResult.Unavailable(it) }) { worker.seal(requestId) }

    override suspend fun claim(fence: Fence): ClaimResult =
        call(WorkerCallKind.CLAIM, "", { ClaimResult.Unavailable(it) }) { worker.claim(fence) }

    override suspend fun reserve(
        fence: Fence,
        leaseId: String,
        jobId: JobId,
        attempt: Int,
        accelerators: Int,
        ttlMs: Long,
    ): LeaseResult =
        lease(WorkerCallKind.RESERVE, leaseId) {
            worker.reserve(fence, leaseId, jobId, attempt, accelerators, ttlMs)
        }

    override suspend fun start(
        fence: Fence,
        leaseId: String,
        workMs: Long,
    ): LeaseResult = lease(WorkerCallKind.START, leaseId) { worker.start(fence, leaseId, workMs) }

    override suspend fun renew(
        fence: Fence,
        leaseId: String,
        ttlMs: Long,
    ): LeaseResult = lease(WorkerCallKind.RENEW, leaseId) { worker.renew(fence, leaseId, ttlMs) }

    override suspend fun checkpoint(
        fence: Fence,
        leaseId: String,
    ): LeaseResult = lease(WorkerCallKind.CHECKPOINT, leaseId) { worker.checkpoint(fence, leaseId) }

    override suspend fun stop(
        fence: Fence,
        leaseId: String,
    ): LeaseResult = lease(WorkerCallKind.STOP, leaseId) { worker.stop(fence, leaseId) }

    private suspend fun lease(
        kind: WorkerCallKind,
        leaseId: String,
        effect: () -> LeaseResult,
    ): LeaseResult = call(kind, leaseId, { LeaseResult.Unavailable(it) }, effect)

    private suspend fun deliver(
        call: WorkerCall,
        request: WorkerRequest,
    ): DispatchResult {
        when (beforeEffect(call)) {
            CallFault.NONE -> Unit
            CallFault.REFUSE -> return DispatchResult.NotRun(NotRunReason.UNREACHABLE)
            CallFault.FAIL -> return DispatchResult.Unknown("the connection broke")
        }
        val result = worker.run(request)
        return when (val fault = afterEffect(call)) {
            AnswerFault.NONE -> result
            AnswerFault.FAIL -> DispatchResult.Failed("the worker reports a failure")
            else -> DispatchResult.Unknown(reasonOf(fault))
        }
    }

    private suspend fun <T : Any> call(
        kind: WorkerCallKind,
        subject: String,
        unavailable: (String) -> T,
        effect: () -> T,
    ): T {
        val call = callOf(kind, subject)
        val result =
            withDeadline(deadlineMs) {
                when (beforeEffect(call)) {
                    CallFault.NONE -> {
                        val answer = effect()
                        val fault = afterEffect(call)
                        if (fault == AnswerFault.NONE) answer else unavailable(reasonOf(fault))
                    }
                    CallFault.REFUSE -> unavailable("the connection was refused")
                    CallFault.FAIL -> unavailable("the connection broke")
                }
            }
        return result ?: unavailable("no answer within $deadlineMs ms")
    }

    private suspend fun <T : Any> withDeadline(
        limitMs: Long,
        block: suspend () -> T,
    ): T? {
        if (scope == null) return withTimeoutOrNull(limitMs) { block() }
        val running = scope.async { block() }
        return withTimeoutOrNull(limitMs) { running.await() }
    }

    private fun callOf(
        kind: WorkerCallKind,
        subject: String,
    ): WorkerCall = WorkerCall(worker.specification.id, kind, subject)

    private fun reasonOf(fault: AnswerFault): String =
        when (fault) {
            AnswerFault.NONE -> ""
            AnswerFault.FAIL -> "the worker reports a failure"
            AnswerFault.LOSE -> "the answer was lost"
            AnswerFault.CROSS -> "the answer belongs to another call"
            AnswerFault.TRUNCATE -> "the answer is incomplete"
        }

    private companion object {
        const val DEFAULT_DEADLINE_MS = 800L
    }
}
