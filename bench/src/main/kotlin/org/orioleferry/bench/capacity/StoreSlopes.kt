package org.orioleferry.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.coordination.notes.NoteDistribution
import org.orioleferry.coordination.notes.NoteInstance
import org.orioleferry.coordination.notes.NotePeers
import org.orioleferry.core.Outcome
import org.orioleferry.core.SystemClock
import org.orioleferry.core.api.InstanceVersion
import org.orioleferry.core.api.RequestBody
import org.orioleferry.daemon.requests.RequestPeers
import org.orioleferry.daemon.requests.RequestService
import org.orioleferry.daemon.requests.RequestSettings
import org.orioleferry.standins.InMemoryTableService
import kotlin.random.Random

/** Store calls of one run, and the size in bytes of the rows that it left. */
private class StoreUsage(
    val reads: Double,
    val writes: Double,
    val rowBytes: Double,
)

/** Measures reads, writes and row bytes per job, request and note. All runs of one slope take the same time. */
internal object StoreSlopes {
    suspend fun measure(): List<Slope> {
        val jobs = listOf(20, 40, 80).associateWith { usageOfJobs(it) }
        val tasks = listOf(20, 80, 320).associateWith { rowBytesOfRunningJobs(ROW_JOBS, it / ROW_JOBS) }
        val rows = listOf(20, 40, 80).associateWith { rowBytesOfRunningJobs(it, 1) }
        val requests = listOf(50, 100, 200).associateWith { usageOfRequests(it) }
        val notes = listOf(40, 80, 160).associateWith { usageOfNotes(it) }
        return listOf(
            slopeOf(SlopeKey.WRITES_JOB, jobs.points { it.writes }),
            slopeOf(SlopeKey.READS_JOB, jobs.points { it.reads }),
            slopeOf(SlopeKey.ROW_JOB, rows.points { it }),
            slopeOf(SlopeKey.ROW_TASK, tasks.points { it }),
            slopeOf(SlopeKey.WRITES_REQUEST, requests.points { it.writes }),
            slopeOf(SlopeKey.READS_REQUEST, requests.points { it.reads }),
            slopeOf(SlopeKey.ROW_REQUEST, requests.points { it.rowBytes }),
            slopeOf(SlopeKey.WRITES_NOTE, notes.points { it.writes }),
            slopeOf(SlopeKey.READS_NOTE, notes.points { it.reads }),
            slopeOf(SlopeKey.ROW_NOTE, notes.points { it.rowBytes }),
        ) + takeoverSlopes()
    }

    private fun <T> Map<Int, T>.points(value: (T) -> Double) = map { Point(it.key.toDouble(), value(it.value)) }

    /** Runs jobs from acceptance to their end in a fixed time, so that periodic reads change only the intercept. */
    private suspend fun usageOfJobs(count: Int): StoreUsage {
        val tables = InMemoryTableService()
        val calls = WorkerCalls()
        val host = JobHost.start(tables, Fixture.directory(FLEET_WORKERS), calls)
        delay(SETTLE_MS)
        val (reads, writes) = tables.reads to tables.writes
        val endMs = SystemClock.monotonicMs() + RUN_MS
        repeat(count) {
            host.submitOne()
            delay(SUBMIT_PAUSE_MS)
        }
        calls.areTasksDone = true
        delay(endMs - SystemClock.monotonicMs())
        val usage = StoreUsage(tables.reads - reads.toDouble(), tables.writes - writes.toDouble(), 0.0)
        check(tables.rows("jobs", "ended/").size == count) { "some jobs have not ended within the time of the run" }
        host.stop()
        return usage
    }

    private suspend fun JobHost.submitOne() = submit(1, TASKS_PER_GANG)

    private suspend fun rowBytesOfRunningJobs(
        count: Int,
        tasksPerJob: Int,
    ): Double {
        val tables = InMemoryTableService()
        val calls = WorkerCalls()
        val host = JobHost.start(tables, Fixture.directory(FLEET_WORKERS), calls)
        host.submit(count, tasksPerJob)
        await("starting $count jobs") { calls.starts.get() == count.toLong() * tasksPerJob }
        delay(SETTLE_MS)
        val bytes = tables.rows("jobs", "${Fixture.dataCentre}/").wireBytes()
        host.stop()
        return bytes
    }

    private suspend fun usageOfRequests(count: Int): StoreUsage {
        val tables = InMemoryTableService()
        val job = Job()
        val service =
            RequestService(
                tables,
                Fixture.directory(FLEET_WORKERS),
                { Fixture.worker(it, WorkerCalls()) },
                { Fixture.configuration },
                SystemClock,
                { _, _ -> },
                RequestSettings(Fixture.instance),
                RequestPeers({ setOf(Fixture.instance) }, selectHandler = { _, candidates -> candidates.first() }),
            )
        CoroutineScope(Dispatchers.Default + job).launch { service.run() }
        val endMs = SystemClock.monotonicMs() + RUN_MS
        repeat(count) {
            val body = RequestBody(Fixture.workspace, "clerk-$it", Fixture.credit, "slip-%06d".format(it), "weight $it")
            check(service.handle(body) is Outcome.Success) { "the request service refused a request" }
        }
        delay(endMs - SystemClock.monotonicMs())
        val usage = StoreUsage(tables.reads.toDouble(), tables.writes.toDouble(), tables.rows("requests").wireBytes())
        job.cancelAndJoin()
        return usage
    }

    private suspend fun usageOfNotes(count: Int): StoreUsage {
        val tables = InMemoryTableService()
        val notePeers =
            object : NotePeers {
                override fun versions() = emptyList<InstanceVersion>()

                override fun hasHeardFromAll() = true
            }
        val instance = NoteInstance(Fixture.instance, Fixture.dataCentre)
        val notes = NoteDistribution(instance, tables, NoPeers, notePeers, SystemClock, Random(1))
        repeat(count) {
            val outcome = notes.commit(NoteSample.note(it))
            check(outcome is Outcome.Success) { "the release note was not committed: $outcome" }
        }
        val bytes = tables.rows("notes").filter { it.key.all(Char::isDigit) }.wireBytes()
        return StoreUsage(tables.reads.toDouble(), tables.writes.toDouble(), bytes)
    }

    /** Measures a new owner that takes over running gangs of [TASKS_PER_GANG] tasks. */
    private suspend fun takeoverSlopes(): List<Slope> {
        val usages = listOf(50, 100, 300).associateWith { usageOfTakeover(it) }
        val calls = usages.map { Point(it.key.toDouble() * TASKS_PER_GANG, it.value.second) }
        return listOf(
            slopeOf(SlopeKey.TAKEOVER_READS, usages.points { it.first.reads }),
            slopeOf(SlopeKey.TAKEOVER_WRITES, usages.points { it.first.writes }),
            slopeOf(SlopeKey.TAKEOVER_CALLS, calls),
        )
    }

    private suspend fun usageOfTakeover(jobs: Int): Pair<StoreUsage, Double> {
        val tables = InMemoryTableService()
        val calls = WorkerCalls()
        val directory = Fixture.directory(TAKEOVER_FLEET_WORKERS)
        val former = JobHost.start(tables, directory, calls)
        former.submit(jobs, TASKS_PER_GANG)
        await("starting $jobs jobs") { calls.starts.get() == jobs.toLong() * TASKS_PER_GANG }
        delay(SETTLE_MS)
        former.stop()
        val (reads, writes) = tables.reads to tables.writes
        val renewals = calls.renewals.get()
        val successor = JobHost.start(tables, directory, calls, epoch = 2)
        delay(TAKEOVER_MS)
        val usage = StoreUsage(tables.reads - reads.toDouble(), tables.writes - writes.toDouble(), 0.0)
        val sent = (calls.renewals.get() - renewals).toDouble()
        successor.stop()
        return usage to sent
    }

    private const val FLEET_WORKERS = 100
    private const val TAKEOVER_FLEET_WORKERS = 194
    private const val TASKS_PER_GANG = 4
    private const val ROW_JOBS = 20
    private const val SETTLE_MS = 1_500L
    private const val SUBMIT_PAUSE_MS = 5L
    private const val RUN_MS = 6_000L
    private const val TAKEOVER_MS = 2_000L
}
