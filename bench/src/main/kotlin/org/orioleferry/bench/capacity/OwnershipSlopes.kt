package org.orioleferry.bench.capacity

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.orioleferry.coordination.ownership.OwnershipCandidate
import org.orioleferry.coordination.ownership.OwnershipManager
import org.orioleferry.coordination.store.CircuitBreakerTableService
import org.orioleferry.core.SystemClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.standins.InMemoryTableService
import org.orioleferry.standins.StoreFault
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Store call rates in steady state, and the number of calls in the busiest second after an outage. */
private class OwnershipUsage(
    val readsPerSecond: Double,
    val writesPerSecond: Double,
    val busiestSecond: Double,
)

/** Measures the store calls of instances that hold and watch ownership leases. */
internal object OwnershipSlopes {
    suspend fun measure(): List<Slope> =
        coroutineScope {
            val byDataCentres = listOf(1, 3, 5).map { it to async(Dispatchers.Default) { usageOf(INSTANCES, it) } }
            val byInstances = listOf(3, 7, 11).map { it to async(Dispatchers.Default) { usageOf(it, DATA_CENTRES) } }
            (byDataCentres + byInstances).map { it.second }.awaitAll()
            val dataCentres = byDataCentres.map { it.first.toDouble() to it.second.await() }
            val instances = byInstances.map { it.first.toDouble() to it.second.await() }
            listOf(
                slopeOf(SlopeKey.WRITES_DATA_CENTRE, dataCentres.map { Point(it.first, it.second.writesPerSecond) }),
                slopeOf(SlopeKey.READS_DATA_CENTRE, dataCentres.map { Point(it.first, it.second.readsPerSecond) }),
                slopeOf(SlopeKey.READS_INSTANCE, instances.map { Point(it.first, it.second.readsPerSecond) }),
                slopeOf(SlopeKey.RECOVERY_INSTANCE, instances.map { Point(it.first, it.second.busiestSecond) }),
            )
        }

    private suspend fun usageOf(
        instances: Int,
        dataCentres: Int,
    ): OwnershipUsage {
        val isStoreDown = AtomicBoolean()
        val calls = AtomicLong()
        val store =
            InMemoryTableService {
                calls.incrementAndGet()
                if (isStoreDown.get()) StoreFault.DOWN else StoreFault.NONE
            }
        val job = Job()
        managers(instances, dataCentres, store).forEach {
            CoroutineScope(Dispatchers.Default + job).launch { it.run() }
        }
        delay(SETTLE_MS)
        val (reads, writes) = store.reads to store.writes
        delay(MEASURED_MS)
        val seconds = MEASURED_MS / MS_PER_SECOND
        val steady = (store.reads - reads) / seconds to (store.writes - writes) / seconds
        isStoreDown.set(true)
        delay(OUTAGE_MS)
        isStoreDown.set(false)
        val busiest =
            (1..RECOVERY_SECONDS).maxOf {
                val before = calls.get()
                delay(MS_PER_SECOND.toLong())
                calls.get() - before
            }
        job.cancelAndJoin()
        return OwnershipUsage(steady.first, steady.second, busiest.toDouble())
    }

    private fun managers(
        instances: Int,
        dataCentres: Int,
        store: InMemoryTableService,
    ): List<OwnershipManager> {
        val ids = List(instances) { InstanceId("entry-$it") }
        return ids.map {
            val random = Random(it.value.hashCode())
            val guarded = CircuitBreakerTableService(store, SystemClock, random)
            val owned = List(dataCentres) { number -> DataCentre("site-$number") }
            OwnershipManager(OwnershipCandidate(it, 1), owned, guarded, SystemClock, random, { ids.toSet() })
        }
    }

    private const val INSTANCES = 11
    private const val DATA_CENTRES = 5
    private const val SETTLE_MS = 5_000L
    private const val MEASURED_MS = 10_000L
    private const val OUTAGE_MS = 5_000L
    private const val RECOVERY_SECONDS = 6
    private const val MS_PER_SECOND = 1_000.0
}
