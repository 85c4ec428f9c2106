package org.orioleferry.standins

import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkerId

/**
 * Sizes of a fleet of simulated workers, which are assigned to the data centres in round-robin order.
 *
 * @property workersPerRack workers in one rack.
 * @property firstNumber number of the first worker, so that several processes serve different workers.
 */
public data class WorkerFleet(
    val dataCentres: List<DataCentre>,
    val workers: Int,
    val workersPerRack: Int = 6,
    val slots: Int = 8,
    val accelerators: Int = 8,
    val cores: Int = 32,
    val memoryMb: Int = 131_072,
    val firstNumber: Int = 1,
) {
    /** The workers: `<dataCentre>-w<number>` in rack `<dataCentre>-r<number>`, numbered from 1 in each data centre. */
    public fun toSpecifications(): List<WorkerSpecification> =
        (firstNumber - 1 until firstNumber - 1 + workers).map { index ->
            val dataCentre = dataCentres[index % dataCentres.size]
            val position = index / dataCentres.size
            WorkerSpecification(
                id = WorkerId("$dataCentre-w${position + 1}"),
                dataCentre = dataCentre,
                rack = "$dataCentre-r${position / workersPerRack + 1}",
                slots = slots,
                accelerators = accelerators,
                cores = cores,
                memoryMb = memoryMb,
            )
        }
}
