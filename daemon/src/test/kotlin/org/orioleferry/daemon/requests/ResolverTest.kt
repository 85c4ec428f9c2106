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
    // Guards against an answer that is lost on the way although the worker still holds it.
    @Test
    fun `a lost answer should be fetched by sealing`() =
        runTest {
            val world = RequestWorld(this)
            world.afterEffect = { if (it.kind == WorkerCallKind.DISPATCH) AnswerFault.LOSE else AnswerFault.NONE }
            world
                .instance()
                .call(credit("k1"))
                .await()
                .answer
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against an unknown outcome that stays unknown after the worker can be reached again.
    @Test
    fun `an unknown outcome should be resolved in the background`() =
        runTest {
            val world = RequestWorld(this)
            var isCut = true
            world.afterEffect = { if (isCut) AnswerFault.LOSE else AnswerFault.NONE }
            val instance = world.instance()
            val first = instance.call(credit("k1")).await().failure
            expectThat(first.code).isEqualTo(FailureCode.OUTCOME_UNKNOWN)
            expectThat(instance.service.unknownOutcomes().map { it.reason }).isEqualTo(listOf("key k1"))
            isCut = false
            delay(10_000)
            expectThat(instance.service.unknownOutcomes()).isEmpty()
            val status = instance.service.lookUp(SHEDS, "k1") as Outcome.Success
            expectThat(status.value.state).isEqualTo("done")
            instance.call(credit("k1")).await().answer
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against a second run through a new instance after the first one died at any point, and against a key that
    // stays blocked.
    @Test
    fun `a repeat after the death of the instance at every step should run once`() =
        runTest {
            var step = 0
            while (runWithDeathAt(step, clientOf = { it })) step++
            expectThat(step).isEqualTo(STEPS)
        }

    // Shows that the test above fails when the worker's seal has no effect.
    @Test
    fun `without the seal a repeat after a death should run twice`() =
        runTest {
            val failures = (0 until STEPS).filter { runCatching { runWithDeathAt(it, ::SealWithoutEffect) }.isFailure }
            expectThat(failures).isNotEmpty()
        }

    // Guards against a slow dispatcher that starts a request whose key was run anew in the meantime.
    @Test
    fun `a dispatcher that is slow rather than dead should not start a sealed request`() =
        runTest {
            val world = RequestWorld(this)
            var dispatches = 0
            world.beforeEffect = {
                if (it.kind == WorkerCallKind.DISPATCH && dispatches++ == 0) delay(3_000)
                CallFault.NONE
            }
            val slow = world.instance("e1")
            val first = slow.call(credit("k1"))
            delay(100)
            world.live.clear()
            val second = world.instance("e2").call(credit("k1")).await()
            expectThat(first.await().answer).isEqualTo(second.answer)
            expectThat(world.executions()).hasSize(1)
            expectThat(world.checker.finish()).isEmpty()
        }

    // Guards against rows of a dead instance that nobody asks for again.
    @Test
    fun `rows of a dead instance should be resolved by the others`() =
        runTest {
            val world = RequestWorld(this)
            val dead = world.instance("e1")
            val others = listOf(world.instance("e2"), world.instance("e3"))
            repeat(20) { dead.call(credit("k$it", workMs = 500)) }
            delay(100)
            dead.kill()
            delay(30_000)
            val states = List(20) { (others.first().service.lookUp(SHEDS, "k$it") as Outcome.Success).value.state }
            expectThat(states.toSet()).isEqualTo(setOf("done"))
        }

    // Guards against "not run" after a refusal by every worker that leaves the key blocked.
    @Test
    fun `a request that no worker accepts should be refused and may be repeated`() =
        runTest {
            val world = RequestWorld(this)
            world.behaviour = { WorkerBehaviour(refusesWork = true) }
            val instance = world.instance()
            val refused = instance.call(credit("k1", deadlineMs = 500)).await().failure
            expectThat(refused.details["scope"]).isEqualTo(KeyFilter.SCOPE_KEY)
            world.behaviour = { WorkerBehaviour() }
            instance.call(credit("k1")).await().answer
            expectThat(world.checker.finish()).isEmpty()
        }

    /** Kills the first instance at step [death] of its request; returns false when there is no such step. */
    private suspend fun TestScope.runWithDeathAt(
        death: Int,
        clientOf: (WorkerClient) -> WorkerClient,
    ): Boolean {
        val world = RequestWorld(this)
        world.clientOf = clientOf
        val first = world.instance("e1")
        var step = 0
        var isDead = false
        var call: Job? = null

        suspend fun dieHere(staysAlive: Boolean): Boolean {
            if (isDead || call?.isCompleted == true || step++ != death) return false
            isDead = true
            first.kill()
            if (!staysAlive) awaitCancellation()
            return true
        }
        world.storeFault = { operations ->
            if (operations.isNotEmpty()) dieHere(staysAlive = false)
            if (operations.isNotEmpty() && dieHere(staysAlive = true)) StoreFault.LOSE_ANSWER else StoreFault.NONE
        }
        world.beforeEffect = {
            if (it.kind != WorkerCallKind.DISPATCH) {
                CallFault.NONE
            } else if (dieHere(staysAlive = true)) {
                CallFault.FAIL
            } else {
                if (dieHere(staysAlive = true)) delay(LATE_MS)
                CallFault.NONE
            }
        }
        world.afterEffect = {
            if (it.kind == WorkerCallKind.DISPATCH) dieHere(staysAlive = true)
            AnswerFault.NONE
        }
        call = first.call(credit("k1"))
        delay(LATE_MS / 2)
        val repeated = world.instance("e2").call(credit("k1")).await()
        delay(LATE_MS * 2)
        expectThat(world.instance("e3").call(credit("k1")).await()).isEqualTo(repeated)
        expectThat(
            world
                .executions()
                .groupBy { it.key }
                .values
                .map { it.size },
        ).isEqualTo(listOf(1))
        expectThat(world.checker.finish()).isEmpty()
        return isDead
    }

    private companion object {
        /** Before and after each of the two writes, before and after the first byte, and before the answer. */
        const val STEPS = 7
        const val LATE_MS = 2_000L
    }
}
