package org.orioleferry.core.guarantee

import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.WorkspaceName
import org.orioleferry.core.placement.FleetSnapshot
import org.orioleferry.core.placement.PlacementWorker
import org.orioleferry.core.placement.StepCounter

/**
 * Guarantees that do not fit into the live fleet of a data centre.
 *
 * @property guaranteed accelerators of all guarantees in the data centre.
 * @property capacity accelerators of the live fleet in the data centre.
 * @property shortfall accelerators, by workspace, of guaranteed shapes that do not fit beside the others.
 */
public data class GuaranteeExcess(
    val dataCentre: DataCentre,
    val guaranteed: Int,
    val capacity: Int,
    val shortfall: Map<WorkspaceName, Int>,
) {
    /** The numbers as text, for the message that refuses the guarantees. */
    override fun toString(): String =
        "$dataCentre: $guaranteed accelerators are guaranteed and the live fleet has $capacity; no room for " +
            shortfall.entries.joinToString { (workspace, missing) -> "$missing of $workspace" }
}

/**
 * Finds data centres whose live workers in [fleets] cannot hold all guarantees of [configuration] at the same time. A
 * data centre that is not in [fleets] is not checked. The check is as conservative as the one of [GuaranteeLedger].
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
 * Returns the accelerators, by workspace, of guaranteed shapes that cannot be reclaimed in [fleet]. The map is empty
 * when the invariant of guarantees holds (see [GuaranteeLedger]).
 */
public fun guaranteeShortfall(fleet: FleetSnapshot): Map<WorkspaceName, Int> =
    GuaranteeLedger.of(fleet, StepCounter()).shortfall
