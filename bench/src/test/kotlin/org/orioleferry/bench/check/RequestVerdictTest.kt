package org.orioleferry.bench.check

import org.junit.jupiter.api.Test
import org.orioleferry.bench.load.Attempt
import org.orioleferry.bench.load.CallResult
import org.orioleferry.bench.load.SentRequest
import org.orioleferry.core.api.ErrorDetail
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.platform.Execution
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.resultOf
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class RequestVerdictTest {
    private val body = RequestBody(WorkspaceName("sheds"), "clerk", JobClassName("shed-credit"), "k1", "3 kg")
    private val expectedResult = resultOf(WorkerRequest("", "k1", "shed-credit", "3 kg"))
    private val run = Execution(kind = "request", id = "r1", key = "k1", startedMs = 10, endedMs = 20, outcome = "done")

    // Guards against a checker that reports violations in a correct run.
    @Test
    fun `should find no violation when one execution was answered with its result`() {
        expectThat(verdict(listOf(answered(expectedResult)), run).violations).isEqualTo(0)
    }

    // Guards against a checker that misses a non-idempotent request that ran twice.
    @Test
    fun `should count a second execution of a non-idempotent request`() {
        expectThat(verdict(listOf(answered(expectedResult)), run, run.copy(id = "r2")).duplicates).hasSize(1)
    }

    // Guards against a checker that misses a "not run" answer to a request that ran.
    @Test
    fun `should count a refusal of a request that ran`() {
        expectThat(verdict(listOf(refused(notRun = true)), run).falseNotRun).hasSize(1)
    }

    // Guards against a checker that misses a false "not run" answer because a later attempt succeeded.
    @Test
    fun `should count a refusal that came after the start`() {
        val attempts = listOf(refused(notRun = true).copy(wallMs = 15), answered(expectedResult).copy(wallMs = 30))
        expectThat(verdict(attempts, run).falseNotRun).hasSize(1)
    }

    // Guards against a checker that misses an answer that belongs to another request.
    @Test
    fun `should count an answer to another request`() {
        expectThat(verdict(listOf(answered("other")), run).wrongAnswers).hasSize(1)
    }

    // Guards against a checker that misses a successful answer to a request that no worker ran.
    @Test
    fun `should count an answer without an execution`() {
        expectThat(verdict(listOf(answered(expectedResult))).answeredWithoutExecution).hasSize(1)
    }

    // Guards against an unknown outcome that is counted as a violation.
    @Test
    fun `should list an unknown outcome without a violation`() {
        val verdict = verdict(listOf(refused(notRun = false)), run)
        expectThat(verdict.unknown).hasSize(1)
        expectThat(verdict.violations).isEqualTo(0)
    }

    private fun verdict(
        attempts: List<Attempt>,
        vararg executions: Execution,
    ) = checkRequests(listOf(SentRequest(body, false, attempts, 0)), executions.toList())

    private fun answered(result: String) =
        Attempt(CallResult.Answered(RequestAnswer("r1", "done", result, WorkerId("w1"))), 25)

    private fun refused(notRun: Boolean) = Attempt(CallResult.Refused(ErrorDetail("OUTCOME_UNKNOWN", "", notRun)), 25)
}
