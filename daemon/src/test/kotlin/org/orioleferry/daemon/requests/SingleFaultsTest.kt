package org.orioleferry.daemon.requests

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.core.api.RequestAnswer
import org.orioleferry.platform.DispatchResult
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.WorkerRequest
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.StoreFault
import org.orioleferry.standins.WorkerCall
import org.orioleferry.standins.WorkerCallKind
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

@OptIn(ExperimentalCoroutinesApi::class)
class SingleFaultsTest {
    // Each test guards against a fault whose effect is masked by others when faults are combined. The fault applies to
    // all calls; afterwards every key has to have the outcome that was reported, and one run at most.

    @Test
    fun `a store that is down should refuse all as not run`() =
        expectOutcomes("store down", 0, 0) { storeFault = { StoreFault.DOWN } }

    @Test
    fun `a slow store should leave no outcome unknown`() =
        expectOutcomes("store slow, 600 ms", 0, CALLS) {
            storeFault = {
                delay(600)
                StoreFault.NONE
            }
        }

    @Test
    fun `answers of the store that are lost after the effect should leave no outcome unknown`() =
        expectOutcomes("every second store answer lost", 0, CALLS) {
            var calls = 0
            storeFault = { if (it.isNotEmpty() && calls++ % 2 == 0) StoreFault.LOSE_ANSWER else StoreFault.NONE }
        }

    @Test
    fun `a worker that dies before the first byte should leave no call answered before it is back`() =
        expectOutcomes("worker unreachable in the middle of a call", CALLS, 0) { beforeEffect = { CallFault.FAIL } }

    @Test
    fun `a refused connection should be reported as not run`() =
        expectOutcomes("connection refused", 0, 0) { beforeEffect = { CallFault.REFUSE } }

    @Test
    fun `an answer that is lost should be fetched by sealing`() =
        expectOutcomes("answer lost", 0, CALLS) { afterEffect = { onDispatch(it, AnswerFault.LOSE) } }

    @Test
    fun `a truncated answer should be fetched by sealing`() =
        expectOutcomes("answer truncated", 0, CALLS) { afterEffect = { onDispatch(it, AnswerFault.TRUNCATE) } }

    @Test
    fun `an answer that comes after the deadline should be fetched by sealing`() =
        expectOutcomes("answer late by 10 s", 0, CALLS) {
            afterEffect = {
                if (it.kind == WorkerCallKind.DISPATCH) delay(10_000)
                AnswerFault.NONE
            }
        }

    @Test
    fun `a worker that answers nothing at all should leave no call answered`() =
        expectOutcomes("all answers of workers lost", CALLS, 0) { afterEffect = { AnswerFault.LOSE } }

    @Test
    fun `a request that arrives twice should run once`() =
        expectOutcomes("request duplicated on the way", 0, CALLS) { clientOf = { DuplicatingClient(it) } }

    private fun onDispatch(
        call: WorkerCall,
        fault: AnswerFault,
    ) = if (call.kind == WorkerCallKind.DISPATCH) fault else AnswerFault.NONE

    /** Expects at most [maxUnknown] unknown outcomes, and [answered] answers out of [CALLS]; others are not run. */
    private fun expectOutcomes(
        fault: String,
        maxUnknown: Int,
        answered: Int,
        inject: RequestSimulation.() -> Unit,
    ) = runTest {
        val simulation = RequestSimulation(this, workerCount = 4).apply(inject)
        val outcomes = callAll(simulation, "e1")
        val unknown = outcomes.count { (it as? Outcome.Failed)?.failure?.code == FailureCode.OUTCOME_UNKNOWN }
        val successes = outcomes.count { it is Outcome.Success }
        println("measured: $fault: of $CALLS calls $unknown unknown, $successes answered, others not run")
        expectThat(unknown).describedAs(fault).isLessThanOrEqualTo(maxUnknown)
        expectThat(successes).describedAs(fault).isEqualTo(answered)
        expectThat(
            outcomes.count { it is Outcome.Failed && it.failure.isNotRun },
        ).isEqualTo(CALLS - unknown - successes)
        simulation.storeFault = { StoreFault.NONE }
        simulation.beforeEffect = { CallFault.NONE }
        simulation.afterEffect = { AnswerFault.NONE }
        delay(30_000)
        val repeats = callAll(simulation, "e2")
        outcomes
            .zip(
                repeats,
            ).filter { it.first is Outcome.Success }
            .forEach { expectThat(it.second).isEqualTo(it.first) }
        expectThat(simulation.executions().groupBy { it.key }.values).all { get { size }.isEqualTo(1) }
        expectThat(simulation.checker.finish()).isEmpty()
    }

    private suspend fun callAll(
        simulation: RequestSimulation,
        name: String,
    ): List<Outcome<RequestAnswer>> {
        val instance = simulation.startInstance(name)
        return List(CALLS) {
            delay(50)
            instance.call(creditRequest("k$it"))
        }.map { it.await() }
    }

    private class DuplicatingClient(
        private val client: WorkerClient,
    ) : WorkerClient by client {
        override suspend fun dispatch(
            request: WorkerRequest,
            deadlineMs: Long,
        ): DispatchResult {
            client.dispatch(request, deadlineMs)
            return client.dispatch(request, deadlineMs)
        }
    }

    private companion object {
        const val CALLS = 40
    }
}
