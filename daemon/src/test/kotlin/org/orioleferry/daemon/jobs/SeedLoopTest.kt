package org.orioleferry.daemon.jobs

import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.coordination.ownership.OwnershipState
import org.orioleferry.coordination.upstream.UpstreamState
import org.orioleferry.core.model.JobRecord
import org.orioleferry.standins.AnswerFault
import org.orioleferry.standins.CallFault
import org.orioleferry.standins.StoreFault
import org.orioleferry.standins.WorkerBehaviour
import strikt.api.expectThat
import strikt.assertions.isEmpty
import kotlin.random.Random
import kotlin.time.Duration.Companion.minutes

class SeedLoopTest {
    private val firstSeed = System.getProperty("orioleferry.seed")?.toLong() ?: DEFAULT_SEED

    private fun faults(seed: Long): List<String> {
        var found = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val random = Random(seed)
            val world = JobWorld(this, workerCount = 8)
            world.guarantee(audit, count = 2)
            world.startOwner()
            world.callFault = { call ->
                delay(random.nextLong(1, 30))
                when {
                    world.frozen == call.worker -> CallFault.FAIL
                    random.nextInt(150) == 0 -> CallFault.FAIL
                    random.nextInt(150) == 0 -> delay(2_000).let { CallFault.NONE }
                    else -> CallFault.NONE
                }
            }
            world.answerFault = { if (random.nextInt(150) == 0) AnswerFault.LOSE else AnswerFault.NONE }
            world.storeFault = {
                delay(random.nextLong(1, 20))
                FAULTS.getOrElse(random.nextInt(60)) { StoreFault.NONE }
            }
            val jobs = mutableListOf<JobRecord>()
            repeat(STEPS) {
                world.disturb(random)
                jobs += world.trySubmit(random)
                delay(random.nextLong(500, 4_000))
            }
            world.calm()
            delay(900_000)
            found = JobChecker(world).faults(jobs).map { "seed $seed: $it" }
            world.close()
        }
        return found
    }

    private suspend fun JobWorld.disturb(random: Random) {
        val worker = workers.random(random).specification.id
        when (random.nextInt(12)) {
            0 -> instances.last().kill().also { startOwner() }
            1 -> startOwner()
            2 -> frozen = worker
            3 -> frozen = null
            4 -> behaviours[worker] = WorkerBehaviour(failsAll = true)
            5 -> behaviours[worker] = WorkerBehaviour(refusesWork = true)
            6 -> behaviours.clear()
            7 -> states[worker] = UpstreamState.LEAVING
            8 -> states.clear()
            9 -> instances.last().let { it.ownership = it.ownership.copy(state = OwnershipState.UNCONFIRMED) }
            10 -> instances.last().let { it.ownership = it.ownership.copy(state = OwnershipState.OWNER) }
        }
    }

    private fun JobWorld.calm() {
        callFault = { CallFault.NONE }
        answerFault = { AnswerFault.NONE }
        storeFault = { StoreFault.NONE }
        behaviours.clear()
        states.clear()
        instances.last().let { it.ownership = it.ownership.copy(state = OwnershipState.OWNER) }
    }

    private suspend fun JobWorld.trySubmit(random: Random): List<JobRecord> {
        val shapes = listOf(gang(1, 8), gang(2, 8), gang(3, 2), gang(8, 1), gang(4, 4))
        val isUrgent = random.nextInt(4) == 0
        val job =
            submitOrNull(
                gang = if (isUrgent) gang(1, 8) else shapes.random(random),
                workMs = random.nextLong(500, 40_000),
                jobClass = if (isUrgent) urgentOnceClass else onceClass,
                workspace = if (isUrgent) audit else sheds,
            )
        if (job != null && random.nextInt(10) == 0) instances.last().service.cancel(job.jobId)
        return listOfNotNull(job)
    }

    // Guards against combinations of faults that no single test covers: run twice, partial, left behind, never ended.
    @Test
    fun `random faults should leave no job partial, doubled, lost or without an end`() {
        val found = (firstSeed until firstSeed + SEEDS).flatMap(::faults)
        expectThat(found).isEmpty()
    }

    private companion object {
        const val DEFAULT_SEED = 20_261_204L
        const val SEEDS = 4
        const val STEPS = 30
        val FAULTS = listOf(StoreFault.DOWN, StoreFault.LOSE_ANSWER)
    }
}
