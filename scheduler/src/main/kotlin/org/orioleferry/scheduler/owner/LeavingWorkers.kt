package org.orioleferry.scheduler.owner

/**
 * Stops the runs that cannot end before their worker leaves, shortly before it does. They save a checkpoint and start
 * elsewhere at once; those of a worker that is gone can only start again when its leases have expired.
 */
internal class LeavingWorkers(
    private val orders: RunOrders,
    maxStopMs: Long,
    private val forecast: RunForecast,
) {
    /** Time before the leaving at which the runs are stopped: the stop, the period of [check] and the order's way. */
    private val leadMs = maxStopMs + LEAD_MARGIN_MS

    /** Checks the runs of [session]; called several times a second. */
    fun check(session: WorkerSession) {
        val leftMs = session.leavesInMs() ?: return
        if (leftMs > leadMs) return
        session.runs.values
            .toList()
            .filter { it.state != RunState.STOPPING && forecast.leavingRemainingMs(it) > leftMs + GRACE_MS }
            .forEach { run ->
                orders.stop(run, REASON)
                orders.stopGangOf(run, REASON)
            }
    }

    private companion object {
        const val REASON = "the worker is leaving"
        const val LEAD_MARGIN_MS = 700L

        // Workers often stay a little longer than announced; a run that needs no more than this may still end.
        const val GRACE_MS = 300L
    }
}
