package org.orioleferry.standins

import org.orioleferry.core.Clock
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkerId

/** Name, location and size of a simulated worker. */
public data class WorkerSpecification(
    val id: WorkerId,
    val dataCentre: DataCentre,
    val rack: String,
    val slots: Int = 8,
    val accelerators: Int = 8,
    val cores: Int = 32,
    val memoryMb: Int = 131_072,
)

/**
 * Faulty behaviour of a simulated worker.
 *
 * @property failsAll every request and every task that starts fails at once.
 * @property refusesWork new requests are refused as busy and new leases as insufficient.
 * @property isLeaving new work is refused as leaving; what runs is finished.
 * @property ignoresCheckpoints a checkpoint is acknowledged and keeps no progress.
 */
public data class WorkerBehaviour(
    val failsAll: Boolean = false,
    val refusesWork: Boolean = false,
    val isLeaving: Boolean = false,
    val ignoresCheckpoints: Boolean = false,
)

/** A clock whose two readings both come from [readMs], such as the current time of a test scheduler. */
public class FunctionClock(
    private val readMs: () -> Long,
) : Clock {
    override fun monotonicMs(): Long = readMs()

    override fun wallMs(): Long = readMs()
}
