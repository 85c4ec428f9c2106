package org.orioleferry.coordination.ownership

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import org.orioleferry.coordination.store.CircuitBreakerTableService
import org.orioleferry.coordination.testing.StoreLink
import org.orioleferry.coordination.testing.VirtualClock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.TableService
import kotlin.random.Random

internal val DOMAINS = listOf("kalamata-a", "pylos-b", "koroni-c", "messini-d", "fifth-e").map(::DataCentre)

/** One instance that competes for leases, with its own link to the store. */
internal class Contender(
    val id: InstanceId,
    val link: StoreLink,
    val manager: OwnershipManager,
) {
    lateinit var job: Job

    fun start(scope: CoroutineScope) {
        job = scope.launch { manager.run() }
    }
}

@OptIn(ExperimentalCoroutinesApi::class)
internal fun TestScope.contenders(
    count: Int,
    store: TableService,
    seed: Int,
    domains: List<DataCentre> = DOMAINS,
    hasCircuitBreaker: Boolean = true,
    latencyMs: () -> Long = { 1 },
): List<Contender> {
    val clock = VirtualClock(testScheduler)
    val ids = List(count) { InstanceId("entry-$it") }
    return ids.mapIndexed { index, id ->
        val link = StoreLink(store, clock, latencyMs)
        val random = Random(seed * 1_000 + index)
        val storeOfInstance = if (hasCircuitBreaker) CircuitBreakerTableService(link, clock, random) else link
        // The incarnation is random, and every contender counts all of them as live instances.
        val self = OwnershipCandidate(id, random.nextLong())
        Contender(id, link, OwnershipManager(self, domains, storeOfInstance, clock, random, { ids }))
    }
}
