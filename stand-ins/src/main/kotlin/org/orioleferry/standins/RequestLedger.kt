package org.orioleferry.standins

import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.Execution
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerAnswer
import org.orioleferry.platform.WorkerRequest
import java.util.zip.CRC32

/** A request that was started. It ends at [endsMs] of the monotonic clock without further action. */
internal class RequestRecord(
    val requestId: String,
    val result: String,
    val hasFailed: Boolean,
    val endsMs: Long,
    val position: Int,
) {
    var isEnded: Boolean = false
}

/** Decision on an arriving request. */
internal sealed interface Admission {
    data class Started(
        val record: RequestRecord,
    ) : Admission

    data class Refused(
        val reason: NotRunReason,
    ) : Admission
}

/** Slots, records and seals of the requests of one worker. Not safe for concurrent use. */
internal class RequestLedger(
    private val slots: Int,
    private val log: ExecutionLog,
) {
    private val records = mutableMapOf<String, RequestRecord>()
    private val running = mutableMapOf<String, RequestRecord>()
    private val sealed = mutableSetOf<String>()

    val slotsInUse: Int get() = running.size

    /** Ends every request whose work is over at [nowMs]. */
    fun advanceTo(nowMs: Long) {
        if (running.isEmpty()) return
        running.values.filter { it.endsMs <= nowMs }.forEach(::end)
    }

    /** Starts or refuses a request. A repeated identifier joins the first execution and so has the same outcome. */
    fun admit(
        request: WorkerRequest,
        behaviour: WorkerBehaviour,
        nowMs: Long,
    ): Admission {
        records[request.requestId]?.let { return Admission.Started(it) }
        return when {
            request.requestId in sealed -> Admission.Refused(NotRunReason.SEALED)
            behaviour.isLeaving -> Admission.Refused(NotRunReason.LEAVING)
            behaviour.refusesWork || running.size >= slots -> Admission.Refused(NotRunReason.BUSY)
            else -> Admission.Started(begin(request, behaviour.failsAll, nowMs))
        }
    }

    fun end(record: RequestRecord) {
        if (record.isEnded) return
        record.isEnded = true
        running.remove(record.requestId)
        log.end(record.position, record.endsMs, if (record.hasFailed) "failed" else "done")
    }

    fun seal(requestId: String): SealResult {
        sealed += requestId
        val record = records[requestId] ?: return SealResult.NeverRun
        return when {
            !record.isEnded -> SealResult.Running
            record.hasFailed -> SealResult.Failed
            else -> SealResult.Done(record.result)
        }
    }

    private fun begin(
        request: WorkerRequest,
        fails: Boolean,
        nowMs: Long,
    ): RequestRecord {
        val position =
            log.begin(
                Execution(
                    kind = ExecutionLog.KIND_REQUEST,
                    id = request.requestId,
                    key = request.key,
                    startedMs = nowMs,
                ),
            )
        val endsMs = if (fails) nowMs else nowMs + request.workMs
        val record = RequestRecord(request.requestId, resultOf(request), fails, endsMs, position)
        records[request.requestId] = record
        running[request.requestId] = record
        return record
    }
}

/** Returns a simulated worker's result: CRC-32 of the payload and the key, by which a caller knows its own answer. */
public fun resultOf(request: WorkerRequest): String {
    val checksum = CRC32().apply { update(request.payload.toByteArray()) }.value.toString(16)
    return "$checksum:${request.key.orEmpty()}"
}

internal fun RequestRecord.toDispatchResult(): DispatchResult =
    if (hasFailed) {
        DispatchResult.Failed("the request failed on the worker")
    } else {
        DispatchResult.Answered(WorkerAnswer(requestId, result))
    }
