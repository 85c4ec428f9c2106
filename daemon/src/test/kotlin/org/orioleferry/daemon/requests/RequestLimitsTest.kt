package org.orioleferry.daemon.requests

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.model.WorkerId
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.WorkerAnswer
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.WorkerBehaviour
import org.orioleferry.standins.WorkerCallKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isTrue

@OptIn(ExperimentalCoroutinesApi::class)
class RequestLimitsTest {
    // Guards against a request that fails on a busy worker although other workers have free slots.
    @Test
    fun `a busy refusal should be tried on another worker`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.behaviour = { WorkerBehaviour(refusesWork = it != WorkerId("w2")) }
            val instance = simulation.startInstance()
            List(6) { instance.call(creditRequest("k$it")) }.awaitAll().forEach { it.answer }
            expectThat(simulation.executions()).hasSize(6)
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against new work for a worker that reports that it is leaving.
    @Test
    fun `a leaving worker should get no new work`() =
        runTest {
            val simulation = RequestSimulation(this)
            var offered = 0
            simulation.behaviour = { WorkerBehaviour(isLeaving = it == WorkerId("w0")) }
            simulation.beforeEffect = {
                if (it.worker == WorkerId("w0")) offered++
                CallFault.NONE
            }
            val instance = simulation.startInstance()
            List(20) { instance.call(gradeRequest("a$it")) }.awaitAll()
            val atFirst = offered
            delay(200)
            List(50) { instance.call(gradeRequest("b$it")) }.awaitAll().forEach { it.answer }
            expectThat(offered).isEqualTo(atFirst)
        }

    // Guards against retries that add to an overload.
    @Test
    fun `retries of idempotent requests should stay within the budget`() =
        runTest {
            val simulation = RequestSimulation(this)
            var dispatches = 0
            simulation.afterEffect = {
                dispatches++
                AnswerFault.FAIL
            }
            val instance = simulation.startInstance()
            repeat(100) {
                instance.call(gradeRequest("g$it", workMs = 1))
                delay(50)
            }
            delay(5_000)
            // Each of the three workers allows one retry at the start and one more per second for 5 s.
            expectThat(dispatches).isLessThanOrEqualTo(100 + 3 * 6 + 3)
        }

    // Guards against a hanging upstream that receives, and thereby fails, most requests.
    @Test
    fun `a silent worker should get few requests`() =
        runTest {
            val simulation = RequestSimulation(this)
            var callsToSilent = 0
            simulation.beforeEffect = {
                if (it.worker == WorkerId("w0")) callsToSilent++
                if (it.worker == WorkerId("w0")) CallFault.FAIL else CallFault.NONE
            }
            val instance = simulation.startInstance()
            repeat(400) {
                instance.call(gradeRequest("g$it", workMs = 10))
                delay(25)
            }
            delay(5_000)
            expectThat(callsToSilent).isLessThan(30)
        }

    // Guards against a request that is run after its caller has stopped waiting.
    @Test
    fun `no request should start after its deadline`() =
        runTest {
            val simulation = RequestSimulation(this, workerCount = 1, slots = 1)
            val instance = simulation.startInstance()
            val calls = List(20) { instance.call(creditRequest("k$it", workMs = 300, deadlineMs = 1_000)) }.awaitAll()
            expectThat(calls.filterIsInstance<Outcome.Failed>()).isNotEmpty()
            expectThat(simulation.executions().map { it.startedMs }).all { isLessThan(1_000) }
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against the answer to another request, or a part of an answer, that reaches the caller.
    @Test
    fun `crossed answers should never be delivered`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.clientOf = { CrossingClient(it, hidesCrossing = false) }
            expectThat(crossedAnswers(simulation)).isEmpty()
        }

    // Shows that the test above fails when the identifier of an answer is not compared.
    @Test
    fun `without the comparison of identifiers crossed answers should be delivered`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.clientOf = { CrossingClient(it, hidesCrossing = true) }
            expectThat(crossedAnswers(simulation)).isNotEmpty()
        }

    private suspend fun TestScope.crossedAnswers(simulation: RequestSimulation): List<String> {
        val instance = simulation.startInstance()
        (
            List(30) { instance.call(creditRequest("k$it")) } +
                List(30) { instance.call(gradeRequest("g$it")) }
        ).awaitAll()
        testScheduler.advanceUntilIdle()
        return simulation.checker.finish()
    }

    // Guards against an answer that is lost permanently because the connection broke after its first byte.
    @Test
    fun `a truncated answer should not be delivered and its request should not run again`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.afterEffect = {
                if (it.kind == WorkerCallKind.DISPATCH) AnswerFault.TRUNCATE else AnswerFault.NONE
            }
            val instance = simulation.startInstance()
            List(10) { instance.call(creditRequest("k$it")) }.awaitAll().forEach { it.answer }
            expectThat(simulation.executions()).hasSize(10)
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against a false "not run" for a request that a worker may have received.
    @Test
    fun `a worker that is lost permanently should leave the outcome unknown`() =
        runTest {
            val simulation = RequestSimulation(this, workerCount = 1)
            simulation.beforeEffect = { CallFault.FAIL }
            val outcome =
                simulation
                    .startInstance()
                    .call(creditRequest("k1"))
                    .await()
                    .failure
            expectThat(outcome.code).isEqualTo(FailureCode.OUTCOME_UNKNOWN)
            expectThat(!outcome.isNotRun).isTrue()
        }

    /** Answers every second request with the previous answer; [hidesCrossing] puts the expected identifier on it. */
    private class CrossingClient(
        private val client: WorkerClient,
        private val hidesCrossing: Boolean,
    ) : WorkerClient by client {
        private var count = 0
        private var last: WorkerAnswer? = null

        override suspend fun dispatch(
            request: WorkerRequest,
            deadlineMs: Long,
        ): DispatchResult {
            val result = client.dispatch(request, deadlineMs)
            val previous = last
            if (result is DispatchResult.Answered) last = result.answer
            if (count++ % 2 == 0 || previous == null) return result
            val requestId = if (hidesCrossing) request.requestId else previous.requestId
            return DispatchResult.Answered(WorkerAnswer(requestId, previous.result))
        }
    }
}
