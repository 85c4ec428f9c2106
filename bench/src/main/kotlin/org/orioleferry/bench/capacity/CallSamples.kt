package org.orioleferry.bench.capacity

import org.orioleferry.platform.CommitResult
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.Row
import org.orioleferry.platform.http.HttpInstanceRegistry
import org.orioleferry.platform.http.HttpTransport

/** Rows as large as a finished `shed-credit` request in the table `requests`. */
internal object RequestRowSample {
    fun createRows(count: Int): List<Row> =
        List(count) {
            val key = "sheds/slip-%06d".format(it)
            Row(key, VALUE, it.toLong())
        }

    private const val VALUE =
        """{"requestId":"1b4e28ba-2fa1-11d2-883f-0016d3cca427","state":"done","workspace":"sheds",""" +
            """"jobClass":"shed-credit","worker":"w0001","workerUrl":"http://127.0.0.1/workers/w0001",""" +
            """"instance":"entry-1","digest":"9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08",""" +
            """"createdWallMs":1796360000000,"result":"credited weight 1"}"""
}

/** Worker entries in the platform's instance list. */
internal object ListSample {
    /** Registers [count] workers; fails when the platform does not store one. */
    suspend fun registerWorkers(
        platformUrl: String,
        transport: HttpTransport,
        count: Int,
    ) {
        val registry = HttpInstanceRegistry(platformUrl, DEADLINE_MS, transport)
        repeat(count) {
            val id = "sample-%04d".format(it)
            val url = "http://127.0.0.1:7001/workers/$id"
            val rack = "kalamata-a-rack-1"
            val entry = ListedInstance(id, ListedInstance.KIND_WORKER, Fixture.dataCentre.value, rack, url)
            check(registry.put(entry) is CommitResult.Committed) { "a registration was not stored" }
        }
    }

    private const val DEADLINE_MS = 5_000L
}
