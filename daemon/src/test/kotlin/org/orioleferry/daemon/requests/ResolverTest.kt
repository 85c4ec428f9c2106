package org.orioleferry.daemon.requests

import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.FailureCode
import org.orioleferry.core.Outcome
import org.orioleferry.platform.WorkerClient
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.StoreFault
import org.orioleferry.standins.WorkerBehaviour
import org.orioleferry.standins.WorkerCallKind
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEmpty

class ResolverTest {
    // Guards against a lost answer that is not fetched although the worker still holds it.
    @Test
    fun `a lost answer should be fetched by sealing`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.afterEffect = { if (it.kind == WorkerCallKind.DISPATCH) AnswerFault.LOSE else AnswerFault.NONE }
            simulation
                .startInstance()
                .call(creditRequest("k1"))
                .await()
                .answer
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against an unknown outcome that stays unknown after the worker can be reached again.
    @Test
    fun `an unknown outcome should be resolved in the background`() =
        runTest {
            val simulation = RequestSimulation(this)
            var losesAnswers = true
            simulation.afterEffect = { if (losesAnswers) AnswerFault.LOSE else AnswerFault.NONE }
            val instance = simulation.startInstance()
            val first = instance.call(creditRequest("k1")).await().failure
            expectThat(first.code).isEqualTo(FailureCode.OUTCOME_UNKNOWN)
            expectThat(instance.service.unknownOutcomes().map { it.reason }).isEqualTo(listOf("key k1"))
            losesAnswers = false
            delay(10_000)
            expectThat(instance.service.unknownOutcomes()).isEmpty()
            val status = instance.service.lookUp(SHEDS, "k1") as Outcome.Success
            expectThat(status.value.state).isEqualTo("done")
            instance.call(creditRequest("k1")).await().answer
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against a second run through a new instance after the first one was killed at any step, and against a key
    // that stays blocked.
    @Test
    fun `a repeat after a kill of the instance at every step should run once`() =
        runTest {
            var step = 0
            while (runWithKillAt(step, clientOf = { it })) step++
            expectThat(step).isEqualTo(STEPS)
        }

    // Shows that the test above fails when the worker's seal has no effect.
    @Test
    fun `without the seal a repeat after a kill should run twice`() =
        runTest {
            val failures = (0 until STEPS).filter { runCatching { runWithKillAt(it, ::IneffectiveSeal) }.isFailure }
            expectThat(failures).isNotEmpty()
        }

    // Guards against a slow dispatcher, taken for dead, that starts a request whose key was run again in the meantime.
    @Test
    fun `a slow dispatcher should not start a sealed request`() =
        runTest {
            val simulation = RequestSimulation(this)
            var dispatches = 0
            simulation.beforeEffect = {
                if (it.kind == WorkerCallKind.DISPATCH && dispatches++ == 0) delay(3_000)
                CallFault.NONE
            }
            val slow = simulation.startInstance("e1")
            val first = slow.call(creditRequest("k1"))
            delay(100)
            simulation.live.clear()
            val second = simulation.startInstance("e2").call(creditRequest("k1")).await()
            expectThat(first.await().answer).isEqualTo(second.answer)
            expectThat(simulation.executions()).hasSize(1)
            expectThat(simulation.checker.finish()).isEmpty()
        }

    // Guards against rows of a dead instance that stay unresolved because no caller repeats the request.
    @Test
    fun `rows of a dead instance should be resolved by the others`() =
        runTest {
            val simulation = RequestSimulation(this)
            val dead = simulation.startInstance("e1")
            val others = listOf(simulation.startInstance("e2"), simulation.startInstance("e3"))
            repeat(20) { dead.call(creditRequest("k$it", workMs = 500)) }
            delay(100)
            dead.kill()
            delay(30_000)
            val states = List(20) { (others.first().service.lookUp(SHEDS, "k$it") as Outcome.Success).value.state }
            expectThat(states.toSet()).isEqualTo(setOf("done"))
        }

    // Guards against a key that stays blocked after a request that every worker refused was reported as not run.
    @Test
    fun `a request that no worker accepts should be refused and may be repeated`() =
        runTest {
            val simulation = RequestSimulation(this)
            simulation.behaviour = { WorkerBehaviour(refusesWork = true) }
            val instance = simulation.startInstance()
            val refused = instance.call(creditRequest("k1", deadlineMs = 500)).await().failure
            expectThat(refused.details["scope"]).isEqualTo(KeyFilter.SCOPE_KEY)
            simulation.behaviour = { WorkerBehaviour() }
            instance.call(creditRequest("k1")).await().answer
            expectThat(simulation.checker.finish()).isEmpty()
        }

    /** Kills the first instance at step [killStep] of its request; returns false when there is no such step. */
    private suspend fun TestScope.runWithKillAt(
        killStep: Int,
        clientOf: (WorkerClient) -> WorkerClient,
    ): Boolean {
        val simulation = RequestSimulation(this)
        simulation.clientOf = clientOf
        val first = simulation.startInstance("e1")
        var step = 0
        var isKilled = false
        var call: Job? = null

        suspend fun killAtStep(continuesCall: Boolean): Boolean {
            if (isKilled || call?.isCompleted == true || step++ != killStep) return false
            isKilled = true
            first.kill()
            if (!continuesCall) awaitCancellation()
            return true
        }
        simulation.storeFault = { operations ->
            if (operations.isNotEmpty()) killAtStep(continuesCall = false)
            if (operations.isNotEmpty() && killAtStep(continuesCall = true)) StoreFault.LOSE_ANSWER else StoreFault.NONE
        }
        simulation.beforeEffect = {
            if (it.kind != WorkerCallKind.DISPATCH) {
                CallFault.NONE
            } else if (killAtStep(continuesCall = true)) {
                CallFault.FAIL
            } else {
                if (killAtStep(continuesCall = true)) delay(LATE_MS)
                CallFault.NONE
            }
        }
        simulation.afterEffect = {
            if (it.kind == WorkerCallKind.DISPATCH) killAtStep(continuesCall = true)
            AnswerFault.NONE
        }
        call = first.call(creditRequest("k1"))
        delay(LATE_MS / 2)
        val repeated = simulation.startInstance("e2").call(creditRequest("k1")).await()
        delay(LATE_MS * 2)
        expectThat(simulation.startInstance("e3").call(creditRequest("k1")).await()).isEqualTo(repeated)
        expectThat(
            simulation
                .executions()
                .groupBy { it.key }
                .values
                .map { it.size },
        ).isEqualTo(listOf(1))
        expectThat(simulation.checker.finish()).isEmpty()
        return isKilled
    }

    private companion object {
        /** Before and after each of the two writes, before and after the first byte, and before the answer. */
        const val STEPS = 7
        const val LATE_MS = 2_000L
    }
}
