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

class RandomJobFaultsTest {
    private val firstSeed = System.getProperty("orioleferry.seed")?.toLong() ?: DEFAULT_SEED

    private fun findViolations(seed: Long): List<String> {
        var found = emptyList<String>()
        runTest(timeout = 5.minutes) {
            val random = Random(seed)
            val simulation = JobSimulation(this, workerCount = 8)
            simulation.guarantee(audit, count = 2)
            simulation.startOwner()
            simulation.callFault = { call ->
                delay(random.nextLong(1, 30))
                when {
                    simulation.unresponsiveWorker == call.worker -> CallFault.FAIL
                    random.nextInt(150) == 0 -> CallFault.FAIL
                    random.nextInt(150) == 0 -> delay(2_000).let { CallFault.NONE }
                    else -> CallFault.NONE
                }
            }
            simulation.answerFault = { if (random.nextInt(150) == 0) AnswerFault.LOSE else AnswerFault.NONE }
            simulation.storeFault = {
                delay(random.nextLong(1, 20))
                FAULTS.getOrElse(random.nextInt(60)) { StoreFault.NONE }
            }
            val jobs = mutableListOf<JobRecord>()
            repeat(STEPS) {
                simulation.injectRandomFault(random)
                jobs += simulation.submitRandomJob(random)
                delay(random.nextLong(500, 4_000))
            }
            simulation.clearFaults()
            delay(900_000)
            found = JobChecker(simulation).findViolations(jobs).map { "seed $seed: $it" }
            simulation.close()
        }
        return found
    }

    private suspend fun JobSimulation.injectRandomFault(random: Random) {
        val worker = workers.random(random).specification.id
        when (random.nextInt(12)) {
            0 -> instances.last().kill().also { startOwner() }
            1 -> startOwner()
            2 -> unresponsiveWorker = worker
            3 -> unresponsiveWorker = null
            4 -> behaviours[worker] = WorkerBehaviour(failsAll = true)
            5 -> behaviours[worker] = WorkerBehaviour(refusesWork = true)
            6 -> behaviours.clear()
            7 -> states[worker] = UpstreamState.LEAVING
            8 -> states.clear()
            9 -> instances.last().let { it.ownership = it.ownership.copy(state = OwnershipState.UNCONFIRMED) }
            10 -> instances.last().let { it.ownership = it.ownership.copy(state = OwnershipState.OWNER) }
        }
    }

    private fun JobSimulation.clearFaults() {
        callFault = { CallFault.NONE }
        answerFault = { AnswerFault.NONE }
        storeFault = { StoreFault.NONE }
        behaviours.clear()
        states.clear()
        instances.last().let { it.ownership = it.ownership.copy(state = OwnershipState.OWNER) }
    }

    private suspend fun JobSimulation.submitRandomJob(random: Random): List<JobRecord> {
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

    // Guards against fault combinations that no other test covers: run twice, partial runs, leftover leases, no end.
    @Test
    fun `random faults should leave no job lost, unfinished, run twice or run partially`() {
        val found = (firstSeed until firstSeed + SEEDS).flatMap(::findViolations)
        expectThat(found).isEmpty()
    }

    private companion object {
        const val DEFAULT_SEED = 20_261_204L
        const val SEEDS = 4
        const val STEPS = 30
        val FAULTS = listOf(StoreFault.DOWN, StoreFault.LOSE_ANSWER)
    }
}
