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
    // Guards against a busy worker that fails a request which others have room for.
    @Test
    fun `a busy refusal should be tried on another worker`() =
        runTest {
            val world = RequestWorld(this)
            world.behaviour = { WorkerBehaviour(refusesWork = it != WorkerId("w2")) }
            val instance = world.instance()
            List(6) { instance.call(credit("k$it")) }.awaitAll().forEach { it.answer }
            expectThat(world.executions()).hasSize(6)
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against new work for a worker that says that it is leaving.
    @Test
    fun `a leaving worker should get no new work`() =
        runTest {
            val world = RequestWorld(this)
            var offered = 0
            world.behaviour = { WorkerBehaviour(isLeaving = it == WorkerId("w0")) }
            world.beforeEffect = {
                if (it.worker == WorkerId("w0")) offered++
                CallFault.NONE
            }
            val instance = world.instance()
            List(20) { instance.call(grade("a$it")) }.awaitAll()
            val atFirst = offered
            delay(200)
            List(50) { instance.call(grade("b$it")) }.awaitAll().forEach { it.answer }
            expectThat(offered).isEqualTo(atFirst)
        }

    // Guards against retries that add to an overload.
    @Test
    fun `retries of idempotent requests should stay within the budget`() =
        runTest {
            val world = RequestWorld(this)
            var dispatches = 0
            world.afterEffect = {
                dispatches++
                AnswerFault.FAIL
            }
            val instance = world.instance()
            repeat(100) {
                instance.call(grade("g$it", workMs = 1))
                delay(50)
            }
            delay(5_000)
            // Three workers earn one retry a second each, for 5 s, and start with one.
            expectThat(dispatches).isLessThanOrEqualTo(100 + 3 * 6 + 3)
        }

    // Guards against an upstream that hangs and takes every request with it.
    @Test
    fun `a silent worker should be tried gently`() =
        runTest {
            val world = RequestWorld(this)
            var toSilent = 0
            world.beforeEffect = {
                if (it.worker == WorkerId("w0")) toSilent++
                if (it.worker == WorkerId("w0")) CallFault.FAIL else CallFault.NONE
            }
            val instance = world.instance()
            repeat(400) {
                instance.call(grade("g$it", workMs = 10))
                delay(25)
            }
            delay(5_000)
            expectThat(toSilent).isLessThan(30)
        }

    // Guards against a request that is run although its caller has given up.
    @Test
    fun `no request should start after its deadline`() =
        runTest {
            val world = RequestWorld(this, workerCount = 1, slots = 1)
            val instance = world.instance()
            val calls = List(20) { instance.call(credit("k$it", workMs = 300, deadlineMs = 1_000)) }.awaitAll()
            expectThat(calls.filterIsInstance<Outcome.Failed>()).isNotEmpty()
            expectThat(world.executions().map { it.startedMs }).all { isLessThan(1_000) }
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against the answer to another request, or a part of an answer, that reaches the caller.
    @Test
    fun `crossed answers should never be delivered`() =
        runTest {
            val world = RequestWorld(this)
            world.clientOf = { CrossingClient(it, hidesCrossing = false) }
            expectThat(crossedAnswers(world)).isEmpty()
        }

    // Shows that the test above fails when the identifier of an answer is not compared.
    @Test
    fun `without the comparison of identifiers crossed answers should be delivered`() =
        runTest {
            val world = RequestWorld(this)
            world.clientOf = { CrossingClient(it, hidesCrossing = true) }
            expectThat(crossedAnswers(world)).isNotEmpty()
        }

    private suspend fun TestScope.crossedAnswers(world: RequestWorld): List<String> {
        val instance = world.instance()
        (List(30) { instance.call(credit("k$it")) } + List(30) { instance.call(grade("g$it")) }).awaitAll()
        testScheduler.advanceUntilIdle()
        return world.checker.finish()
    }

    // Guards against an answer that is lost for good because the connection broke behind the first byte of it.
    @Test
    fun `a truncated answer should not be delivered and its request should not run again`() =
        runTest {
            val world = RequestWorld(this)
            world.afterEffect = {
                if (it.kind == WorkerCallKind.DISPATCH) AnswerFault.TRUNCATE else AnswerFault.NONE
            }
            val instance = world.instance()
            List(10) { instance.call(credit("k$it")) }.awaitAll().forEach { it.answer }
            expectThat(world.executions()).hasSize(10)
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against "not run" for a request that a worker may have received.
    @Test
    fun `a worker that is lost for good should leave the outcome unknown`() =
        runTest {
            val world = RequestWorld(this, workerCount = 1)
            world.beforeEffect = { CallFault.FAIL }
            val outcome =
                world
                    .instance()
                    .call(credit("k1"))
                    .await()
                    .failure
            expectThat(outcome.code).isEqualTo(FailureCode.OUTCOME_UNKNOWN)
            expectThat(!outcome.isNotRun).isTrue()
        }

    /** Gives every second request the answer to the one before. [hidesCrossing] puts the expected identifier on it. */
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
