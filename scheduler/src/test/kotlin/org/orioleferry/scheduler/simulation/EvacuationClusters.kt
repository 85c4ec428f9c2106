package org.orioleferry.scheduler.simulation

import kotlinx.coroutines.test.TestScope
import org.orioleferry.scheduler.SchedulerEvent
import org.orioleferry.scheduler.workers.TaskId

/** Returns a cluster with the workers [west] in the data centre `west`, and all others in `east`. */
fun TestScope.clusterWithWest(
    workers: Int,
    west: Set<String>,
    outcomeOf: (TaskId, Int) -> Outcome,
): SimulatedCluster {
    val cluster = SimulatedCluster(this, workers, outcomeOf)
    cluster.workers.values.forEach { it.dataCentre = if (it.id in west) "west" else "east" }
    return cluster
}

/** Returns the orders that were sent to workers of the data centre `west`. */
fun SimulatedCluster.startsInWest(): List<SimulatedCluster.SentStart> =
    sentStarts.filter { workers.getValue(it.worker).dataCentre == "west" }

/** Returns the logged events of the kinds [wanted]. */
fun SimulatedCluster.logged(vararg wanted: SchedulerEvent): List<SimulatedCluster.LoggedEvent> =
    loggedEvents.filter { it.event in wanted }
