package org.orioleferry.bench.demo

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.orioleferry.bench.check.JobVerdict
import org.orioleferry.bench.check.RequestVerdict
import org.orioleferry.bench.check.checkJobs
import org.orioleferry.bench.check.checkRequests
import org.orioleferry.bench.load.CallResult
import org.orioleferry.bench.load.DaemonClient
import org.orioleferry.bench.load.JobLedger
import org.orioleferry.bench.load.RequestLoad
import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.benchJson
import org.orioleferry.core.api.EventList
import org.orioleferry.core.api.JobSubmission
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobState

/** Runs the steps of the demo. [print] takes one line of output. */
internal class DemoRun(
    private val deployment: Deployment,
    seed: Long,
    private val print: (String) -> Unit,
) {
    private val client = DaemonClient { deployment.daemons }
    private val load = RequestLoad(client, DemoWorkload.requestKinds, seed)
    private val jobs = JobLedger(client)
    private val suffix = "demo$seed"

    /** Runs all steps; returns true when the checkers found no violation and every step succeeded. */
    suspend fun run(): Boolean =
        client.use {
            val startedMs = System.currentTimeMillis()
            deployment.start()
            print("6 daemons in 4 data centres are ready after ${System.currentTimeMillis() - startedMs} ms")
            val steps = listOf(applyNote(), runLoadWithFaults())
            val isClean = reportResults()
            steps.all { it } && isClean
        }

    private suspend fun applyNote(): Boolean {
        val startedMs = System.currentTimeMillis()
        val answer = client.apply(DemoWorkload.note)
        if (answer !is CallResult.Answered) return reportFailure("the release note was not accepted: $answer")
        val version = answer.value.version
        val isInForce =
            pollUntil(NOTE_LIMIT_MS) {
                val status = client.noteStatus() as? CallResult.Answered
                val instances = status?.value?.instances.orEmpty()
                instances.size == deployment.daemons.size && instances.all { it.version >= version }
            }
        val elapsedMs = System.currentTimeMillis() - startedMs
        if (!isInForce) return reportFailure("the release note is not in force everywhere after $elapsedMs ms")
        print("release note ${DemoWorkload.note.noteId} is in force on all instances after $elapsedMs ms")
        return true
    }

    private suspend fun runLoadWithFaults(): Boolean =
        coroutineScope {
            val runningLoad = load.start(this, CALLERS, CALLER_PAUSE_MS)
            val isGangDone = runGang()
            val isReclaimed = runReclaim()
            deployment.kill(KILLED)
            print("$KILLED was killed while $CALLERS callers were sending")
            delay(FAULT_PAUSE_MS)
            val code = deployment.terminate(STOPPED)
            print("$STOPPED was stopped gracefully, exit code $code")
            deployment.unregister(KILLED)
            val isSecondGangDone =
                runJob(DemoWorkload.adjacentGang("$suffix-after", GANG_WORK_MS), "gang of 16 after both")
            runningLoad.stop()
            isGangDone && isReclaimed && isSecondGangDone && code == 0
        }

    private suspend fun runGang(): Boolean =
        runJob(DemoWorkload.adjacentGang("$suffix-gang", GANG_WORK_MS), "gang of 16")

    private suspend fun runJob(
        submission: JobSubmission,
        title: String,
    ): Boolean {
        val job = jobs.submit(submission) ?: return reportFailure("$title was not accepted: ${jobs.lastRefusal}")
        val record = jobs.await(job, JOB_LIMIT_MS) { it.isFinal }
        val workers = record?.members.orEmpty().map { it.worker }
        print("$title: ${record?.state} on $workers")
        return record?.state == JobState.DONE
    }

    /** Fills a data centre with preemptible jobs, then submits a gang on guaranteed capacity, which reclaims it. */
    private suspend fun runReclaim(): Boolean {
        val borrowers =
            (1..BORROWER_COUNT).mapNotNull {
                jobs.submit(
                    DemoWorkload.borrower(FULL, "$suffix-b$it", BORROW_MS),
                )
            }
        val isFull =
            pollUntil(JOB_LIMIT_MS) {
                borrowers.count { jobs.record(it)?.state == JobState.RUNNING } == BORROWER_COUNT
            }
        val startedMs = System.currentTimeMillis()
        val urgent = jobs.submit(DemoWorkload.urgent(FULL, "$suffix-urgent", GANG_WORK_MS))
        val record = urgent?.let { job -> jobs.await(job, JOB_LIMIT_MS) { it in STARTED_STATES } }
        val elapsedMs = System.currentTimeMillis() - startedMs
        print(
            "urgent gang of 16 on a full data centre ($isFull): ${record?.state} after $elapsedMs ms (target 4000 ms)",
        )
        borrowers.forEach { jobs.cancel(it) }
        return isFull && record != null
    }

    private suspend fun reportResults(): Boolean {
        pollUntil(JOB_LIMIT_MS) { jobs.records().all { it.state.isFinal } }
        delay(SETTLE_MS)
        val executions = deployment.executions()
        val requests = checkRequests(load.sent, executions)
        val jobVerdict = checkJobs(jobs.records(), executions, PARTIAL_BOUND_MS, System.currentTimeMillis())
        printRequests(requests)
        printJobs(jobVerdict)
        printTimeline(JobId("$FULL.$suffix-urgent"))
        val isMemoryWithinLimit = checkMemory()
        return requests.violations + jobVerdict.violations + jobVerdict.unfinished.size == 0 && isMemoryWithinLimit
    }

    private fun printRequests(verdict: RequestVerdict) {
        print(
            "requests: sent ${verdict.sent}, done ${verdict.done}, not run ${verdict.notRun}, failed ${verdict.failed}",
        )
        print("  unknown ${verdict.unknown.size} ${verdict.unknown.take(MAX_SHOWN)}")
        print("  ran twice ${verdict.duplicates.size} ${verdict.duplicates.take(MAX_SHOWN)}")
        print("  false \"not run\" ${verdict.falseNotRun.size} ${verdict.falseNotRun.take(MAX_SHOWN)}")
        print("  wrong answers ${verdict.wrongAnswers.size} ${verdict.wrongAnswers.take(MAX_SHOWN)}")
        print("  answered without work ${verdict.answeredWithoutExecution.size}")
    }

    private fun printJobs(verdict: JobVerdict) {
        print("jobs: accepted ${verdict.accepted}, done ${verdict.done}, reported as not run whole ${verdict.reported}")
        print("  unfinished ${verdict.unfinished}, ran twice ${verdict.ranTwice}, partial ${verdict.partialGangs}")
        print("  longest partial gang ${verdict.longestPartialMs} ms (bound $PARTIAL_BOUND_MS ms)")
    }

    private suspend fun printTimeline(job: JobId) {
        val texts = deployment.daemons.mapNotNull { client.getText(it, "/v1/events?job=$job") }
        val events = texts.flatMap { benchJson.decodeFromString<EventList>(it).events }
        print("time line of $job:")
        events.sortedWith(compareBy({ it.logicalTime }, { it.wallMs }, { it.source })).forEach {
            print("  ${it.logicalTime} ${it.source} ${it.number} ${it.name} ${it.attributes - "job"}")
        }
    }

    private fun checkMemory(): Boolean {
        val usages = deployment.daemons.mapNotNull { daemon -> daemon.process.usage()?.let { daemon.id to it } }
        val peakResidentKb = usages.maxOf { it.second.peakResidentKb }
        print("resident memory at its highest: ${peakResidentKb / KB_PER_MB} MB (limit $MEMORY_LIMIT_MB MB)")
        return peakResidentKb <= MEMORY_LIMIT_MB * KB_PER_MB
    }

    private fun reportFailure(reason: String): Boolean {
        print("FAILED: $reason")
        return false
    }

    private suspend fun pollUntil(
        limitMs: Long,
        condition: suspend () -> Boolean,
    ): Boolean {
        val endMs = System.currentTimeMillis() + limitMs
        while (System.currentTimeMillis() < endMs) {
            if (condition()) return true
            delay(POLL_MS)
        }
        return condition()
    }

    private companion object {
        const val CALLERS = 12
        const val CALLER_PAUSE_MS = 30L
        const val NOTE_LIMIT_MS = 5_000L
        const val JOB_LIMIT_MS = 20_000L
        const val GANG_WORK_MS = 1_500L
        const val FULL = "pylos-b"
        const val BORROWER_COUNT = 8
        const val BORROW_MS = 60_000L
        const val KILLED = "entry-2"
        const val STOPPED = "entry-4"
        const val FAULT_PAUSE_MS = 4_000L
        const val SETTLE_MS = 1_000L
        const val PARTIAL_BOUND_MS = 10_000L
        const val POLL_MS = 50L
        const val MAX_SHOWN = 3
        const val KB_PER_MB = 1_024L
        val STARTED_STATES = setOf(JobState.RUNNING, JobState.DONE)
        const val MEMORY_LIMIT_MB = 256L
    }
}
