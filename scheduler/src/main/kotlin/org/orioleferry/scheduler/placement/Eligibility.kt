package org.orioleferry.scheduler.placement

/**
 * Whether the worker may run tasks of [demand], regardless of its free resources. Tasks with a latency target and tasks
 * that use spare processor time are kept on separate workers, since they slow each other down.
 */
internal fun <K> isEligible(
    demand: Demand<K>,
    worker: WorkerResources,
): Boolean =
    worker.service == demand.service &&
        !worker.isInTrial &&
        (demand.trial != TrialPlacement.EMPTY_WORKER || (worker.runCount == 0 && !worker.isNew)) &&
        (demand.allowed == null || worker.id in demand.allowed) &&
        (demand.label.isEmpty() || demand.label in worker.labels) &&
        !(demand.hasLatencyTarget && worker.usesSpareCpu) &&
        !(demand.usesSpareCpu && worker.hasLatencyTarget)
