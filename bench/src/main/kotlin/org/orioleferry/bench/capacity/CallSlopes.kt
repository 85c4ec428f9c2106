package org.orioleferry.bench.capacity

import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.DeploymentSize
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.JobId
import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.Fence
import org.orioleferry.platform.InstanceList
import org.orioleferry.platform.LeaseResult
import org.orioleferry.platform.ReadResult
import org.orioleferry.platform.TableOperation
import org.orioleferry.platform.TableService
import org.orioleferry.platform.WorkerClient
import org.orioleferry.platform.http.HttpInstanceList
import org.orioleferry.platform.http.HttpTableService
import org.orioleferry.platform.http.HttpTransport
import org.orioleferry.platform.http.HttpWorkerClient
import java.nio.file.Path

/**
 * Measures the HTTP calls to workers and to the platform: the bytes on the connection per call, row or list entry, and
 * the processor time of this process, the caller, per call. Each result is the slope of a fitted line.
 */
internal class CallSlopes(
    private val folder: Path,
) {
    private val fence = Fence(Fixture.dataCentre, Epoch(EPOCH))
    private val leaseId = "kalamata-a.$JOB_SUFFIX-1-$EPOCH-0"

    suspend fun measure(): List<Slope> {
        val deployment = Deployment(DeploymentSize(listOf(Fixture.dataCentre.value), WORKERS, daemons = 0), folder)
        return deployment.use {
            it.start()
            HttpTransport().use { transport -> measure(it, transport) }
        }
    }

    private suspend fun measure(
        deployment: Deployment,
        transport: HttpTransport,
    ): List<Slope> {
        await("the registration of the workers") { deployment.workers().size == WORKERS }
        val name = deployment.workers().first()
        val direct = HttpWorkerClient("${deployment.workersUrl}/workers/$name", DEADLINE_MS, transport)
        val job = JobId("kalamata-a.$JOB_SUFFIX")
        check(direct.reserve(fence, leaseId, job, 1, 1, LEASE_MS) is LeaseResult.Applied) { "lease was not granted" }
        direct.start(fence, leaseId, LEASE_MS)
        val processorTimeSlopes =
            listOf(
                processorTimeSlope(SlopeKey.PROCESSOR_RENEW) { renew(direct) },
                processorTimeSlope(SlopeKey.PROCESSOR_PROBE) { probe(direct) },
            )
        val workersRelay = CountingRelay(portOf(deployment.workersUrl))
        val platformRelay = CountingRelay(portOf(deployment.platformUrl))
        return workersRelay.use {
            platformRelay.use {
                val relayed =
                    HttpWorkerClient("http://127.0.0.1:${workersRelay.port}/workers/$name", DEADLINE_MS, transport)
                processorTimeSlopes + workerSlopes(workersRelay, relayed) +
                    tableServiceSlopes(platformRelay, transport) + listSlope(deployment, transport)
            }
        }
    }

    private suspend fun workerSlopes(
        relay: CountingRelay,
        worker: WorkerClient,
    ) = listOf(
        bytesSlope(SlopeKey.CALL_RENEW, relay) { renew(worker) },
        bytesSlope(SlopeKey.CALL_PROBE, relay) { probe(worker) },
    )

    private suspend fun tableServiceSlopes(
        relay: CountingRelay,
        transport: HttpTransport,
    ): List<Slope> {
        val tableService = HttpTableService("http://127.0.0.1:${relay.port}", DEADLINE_MS, transport)
        val ownershipLeaseJson =
            """{"owner":"entry-1","incarnation":1796360000000,"epoch":12,"ttlMs":1500,"renewals":1234}"""
        var version = 0L
        val ownershipRenewals =
            bytesSlope(SlopeKey.CALL_OWNERSHIP, relay) {
                val operation = TableOperation("ownership", "lease/kalamata-a", version, ownershipLeaseJson)
                version = (tableService.commit(listOf(operation)) as CommitResult.Committed).versions.first()
            }
        val reads =
            bytesSlope(SlopeKey.CALL_READ, relay) {
                check(tableService.read("ownership", "lease/kalamata-a") is ReadResult.Found)
            }
        return listOf(ownershipRenewals, reads, scanSlope(relay, tableService))
    }

    /** Measures scans of request rows, which the search for abandoned request rows repeats periodically. */
    private suspend fun scanSlope(
        relay: CountingRelay,
        tableService: TableService,
    ): Slope {
        val points =
            listOf(20, 80, 200).map { rowCount ->
                // A larger sample begins with the rows of the smaller ones, so the table has [rowCount] rows after it.
                val rows = RequestRowSample.createRows(rowCount)
                // Without an expected version, so that the rows of the smaller samples are overwritten.
                val operations = rows.map { TableOperation("requests", it.key, null, it.value) }
                operations.chunked(ROWS_PER_COMMIT).forEach { check(tableService.commit(it) is CommitResult.Committed) }
                val before = relay.bytes
                check(tableService.scan("requests", "") is ReadResult.Found)
                Point(rowCount.toDouble(), (relay.bytes - before).toDouble())
            }
        return slopeOf(SlopeKey.CALL_SCAN, points)
    }

    /**
     * Measures reads of the platform's list of registered workers and instances, as a whole, at three lengths. Each
     * length has a relay of its own, which sees only the reads at this length.
     */
    private suspend fun listSlope(
        deployment: Deployment,
        transport: HttpTransport,
    ): Slope {
        val sampleCounts = listOf(WORKERS, 2 * WORKERS, 4 * WORKERS)
        val points =
            sampleCounts.map { count ->
                ListSample.registerWorkers(deployment.platformUrl, transport, count)
                CountingRelay(portOf(deployment.platformUrl)).use { relay ->
                    val list: InstanceList = HttpInstanceList("http://127.0.0.1:${relay.port}", DEADLINE_MS, transport)
                    var found = 0
                    var bytes = 0L
                    // The platform publishes registrations in the list with a delay.
                    await("the listing of $count sample workers") {
                        val before = relay.bytes
                        found = (list.list() as ReadResult.Found).value.size
                        bytes = relay.bytes - before
                        found == WORKERS + count
                    }
                    Point(found.toDouble(), bytes.toDouble())
                }
            }
        return slopeOf(SlopeKey.CALL_LIST, points)
    }

    private suspend fun renew(worker: WorkerClient) {
        check(worker.renew(fence, leaseId, LEASE_MS) is LeaseResult.Applied) { "the worker did not renew the lease" }
    }

    private suspend fun probe(worker: WorkerClient) {
        check(worker.status() is ReadResult.Found) { "the worker did not answer the status probe" }
    }

    private suspend fun bytesSlope(
        key: SlopeKey,
        relay: CountingRelay,
        call: suspend () -> Unit,
    ): Slope {
        val points =
            listOf(10, 20, 40).map { count ->
                val before = relay.bytes
                repeat(count) { call() }
                Point(count.toDouble(), (relay.bytes - before).toDouble())
            }
        return slopeOf(key, points)
    }

    private suspend fun processorTimeSlope(
        key: SlopeKey,
        call: suspend () -> Unit,
    ): Slope {
        repeat(WARM_UP_CALLS) { call() }
        val points =
            listOf(500, 1_000, 2_000).map { count ->
                Point(count.toDouble(), processorMsOf { repeat(count) { call() } })
            }
        return slopeOf(key, points)
    }

    private fun portOf(url: String): Int = url.substringAfterLast(':').toInt()

    private companion object {
        const val WORKERS = 16
        const val EPOCH = 12L
        const val JOB_SUFFIX = "1b4e28ba-2fa1-11d2-883f-0016d3cca427"
        const val DEADLINE_MS = 5_000L
        const val LEASE_MS = 600_000L
        const val WARM_UP_CALLS = 1_500
        const val ROWS_PER_COMMIT = 50
    }
}
