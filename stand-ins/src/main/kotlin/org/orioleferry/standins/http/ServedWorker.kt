package org.orioleferry.standins.http

import org.orioleferry.core.Clock
import org.orioleferry.core.model.Epoch
import org.orioleferry.platform.ClaimResult
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.FaultBody
import org.orioleferry.platform.Fence
import org.orioleferry.platform.LeaseAnswer
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.NotRunReason
import org.orioleferry.platform.ReserveBody
import org.orioleferry.platform.SealAnswer
import org.orioleferry.platform.SealResult
import org.orioleferry.platform.WorkerError
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.FaultName
import org.orioleferry.standins.FaultSwitches
import org.orioleferry.standins.SimulatedWorker
import org.orioleferry.standins.WorkerSpecification
import org.orioleferry.standins.toBehaviour

/** A simulated worker with its fault switches, whose results are HTTP answers. */
internal class ServedWorker(
    specification: WorkerSpecification,
    clock: Clock,
    seed: Long,
) {
    private val switches = FaultSwitches(clock, seed)
    val faults = CallFaults(switches)
    val worker = SimulatedWorker(specification, clock) { switches.toBehaviour() }

    /** Sets a fault, which must be one of [FaultName.ofWorker]. */
    fun setFault(body: FaultBody) {
        if (body.fault == FaultName.SILENT_CONNECTIONS) faults.silenceConnections() else switches.set(body)
    }

    /** The worker's entry in the platform's list. */
    fun toListed(processUrl: String): ListedInstance =
        ListedInstance(
            id = worker.id,
            kind = ListedInstance.KIND_WORKER,
            dataCentre = worker.specification.dataCentre.value,
            rack = worker.specification.rack,
            address = "$processUrl/workers/${worker.id}",
            state = if (switches.isOn(FaultName.LEAVE)) ListedInstance.STATE_LEAVING else ListedInstance.STATE_LIVE,
        )

    suspend fun run(request: WorkerRequest): HttpAnswer =
        when (val result = worker.run(request)) {
            is DispatchResult.Answered -> answerOf(result.answer)
            is DispatchResult.NotRun -> refusalOf(request.requestId, result.reason)
            is DispatchResult.Failed ->
                errorAbout(request.requestId, STATUS_FAILED, WorkerError.FAILED, result.reason, notRun = false)
            is DispatchResult.Unknown ->
                errorAbout(request.requestId, STATUS_FAILED, "unknown", result.reason, notRun = false)
        }

    fun seal(requestId: String): HttpAnswer =
        when (val result = worker.seal(requestId)) {
            is SealResult.Done -> answerOf(SealAnswer(requestId, SealAnswer.DONE, result.result))
            SealResult.Failed -> answerOf(SealAnswer(requestId, SealAnswer.FAILED))
            SealResult.Running -> answerOf(SealAnswer(requestId, SealAnswer.RUNNING))
            SealResult.NeverRun -> answerOf(SealAnswer(requestId, SealAnswer.NEVER_RUN))
            is SealResult.Unavailable -> errorAbout(requestId, STATUS_UNAVAILABLE, "unavailable", result.reason)
        }

    fun claim(fence: Fence): HttpAnswer =
        when (val result = worker.claim(fence)) {
            is ClaimResult.Claimed -> answerOf(result.status)
            is ClaimResult.StaleEpoch -> staleEpoch(worker.id, result.highest)
            is ClaimResult.Unavailable -> errorAbout(worker.id, STATUS_UNAVAILABLE, "unavailable", result.reason)
        }

    fun reserve(body: ReserveBody): HttpAnswer {
        val fence = Fence(body.domain, body.epoch)
        val result = worker.reserve(fence, body.leaseId, body.jobId, body.attempt, body.accelerators, body.ttlMs)
        return leaseAnswer(body.leaseId, result)
    }

    fun leaseAnswer(
        leaseId: String,
        result: LeaseResult,
    ): HttpAnswer =
        when (result) {
            is LeaseResult.Applied -> answerOf(LeaseAnswer(result.lease))
            is LeaseResult.Refused -> errorAbout(leaseId, STATUS_CONFLICT, result.reason, "the lease is refused")
            is LeaseResult.StaleEpoch -> staleEpoch(leaseId, result.highest)
            LeaseResult.Missing ->
                errorAbout(leaseId, STATUS_NOT_FOUND, WorkerError.MISSING_LEASE, "the lease does not exist")
            is LeaseResult.Unavailable -> errorAbout(leaseId, STATUS_UNAVAILABLE, "unavailable", result.reason)
        }

    private fun refusalOf(
        requestId: String,
        reason: NotRunReason,
    ): HttpAnswer =
        when (reason) {
            NotRunReason.BUSY -> errorAbout(requestId, STATUS_BUSY, WorkerError.BUSY, "all slots are in use")
            NotRunReason.LEAVING -> errorAbout(requestId, STATUS_CONFLICT, WorkerError.LEAVING, "the worker is leaving")
            NotRunReason.SEALED -> errorAbout(requestId, STATUS_GONE, WorkerError.SEALED, "the request is sealed")
            NotRunReason.UNREACHABLE ->
                errorAbout(requestId, STATUS_UNAVAILABLE, "unavailable", "the worker is unreachable")
        }

    private fun staleEpoch(
        subject: String,
        highest: Epoch,
    ): HttpAnswer {
        val details =
            mapOf(WorkerError.DETAIL_SUBJECT to subject, WorkerError.DETAIL_HIGHEST to highest.toString())
        return errorOf(STATUS_STALE, WorkerError.STALE_EPOCH, "a higher epoch was seen", details = details)
    }

    private fun errorAbout(
        subject: String,
        status: Int,
        code: String,
        message: String,
        notRun: Boolean = true,
    ): HttpAnswer = errorOf(status, code, message, notRun, mapOf(WorkerError.DETAIL_SUBJECT to subject))
}
