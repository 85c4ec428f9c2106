package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.StepCounter

/**
 * Guarantees that a data centre cannot hold.
 *
 * @property guaranteed accelerators of all guarantees there.
 * @property capacity accelerators of the live fleet there.
 * @property shortfall accelerators of each workspace's shapes that do not fit beside the others.
 */
public data class GuaranteeExcess(
    val dataCentre: DataCentre,
    val guaranteed: Int,
    val capacity: Int,
    val shortfall: Map<WorkspaceName, Int>,
) {
    /** The numbers in words, for a refusal. */
    override fun toString(): String =
        "$dataCentre: $guaranteed accelerators are guaranteed and the live fleet has $capacity; no room for " +
            shortfall.entries.joinToString { (workspace, missing) -> "$missing of $workspace" }
}

/**
 * Data centres whose live workers in [fleets] do not hold all guarantees of [configuration] at once. A data centre
 * that is not in [fleets] is not judged. Conservative in the same way as the check at each placement.
 */
public fun excessiveGuarantees(
    configuration: Configuration,
    fleets: Map<DataCentre, List<PlacementWorker>>,
): List<GuaranteeExcess> =
    fleets.mapNotNull { (dataCentre, workers) ->
        val guarantees =
            configuration.workspaces.mapValues { (_, workspace) ->
                workspace.guarantees.filter { it.dataCentre == dataCentre }
            }
        val ledger = GuaranteeLedger.of(FleetSnapshot(dataCentre, 0, workers, guarantees = guarantees), StepCounter())
        val guaranteed = guarantees.values.flatten().sumOf { it.count * it.accelerators }
        val capacity = workers.filter { it.isUsable }.sumOf { it.accelerators }
        GuaranteeExcess(dataCentre, guaranteed, capacity, ledger.shortfall).takeIf { ledger.shortfall.isNotEmpty() }
    }

/**
 * Accelerators of guaranteed shapes that cannot be reclaimed in [fleet], for each workspace; empty when the invariant
 * of guarantees holds.
 */
public fun guaranteeShortfall(fleet: FleetSnapshot): Map<WorkspaceName, Int> =
    GuaranteeLedger.of(fleet, StepCounter()).shortfall
