package org.orioleferry.core.placement

import org.orioleferry.core.model.Configuration
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.PlacementKind

/** The policy that implements [kind]. */
public fun placementPolicyOf(kind: PlacementKind): PlacementPolicy =
    when (kind) {
        PlacementKind.FIRST_FIT -> firstFit
        PlacementKind.BEST_FIT -> bestFit
        PlacementKind.GUARANTEE_AWARE -> guaranteeAware
    }

/** Name of the policy that applies to data centres that no other policy lists. */
public const val DEFAULT_POLICY: String = "default"

/**
 * The kind of placement in force in [dataCentre]: the first policy by name that lists it, then `default`, then
 * guarantee-aware, the only kind that keeps guarantees, when the configuration names none.
 */
public fun Configuration.placementKindOf(dataCentre: DataCentre): PlacementKind {
    val listingPolicy = policies.values.filter { dataCentre in it.dataCentres }.minByOrNull { it.name }
    val chosen = listingPolicy ?: policies[DEFAULT_POLICY]?.takeIf { it.dataCentres.isEmpty() }
    return chosen?.placement ?: PlacementKind.GUARANTEE_AWARE
}

/** Whether [gang] fits on [workers] when nothing else runs there. */
public fun canEverFit(
    gang: Gang,
    workers: List<PlacementWorker>,
): Boolean {
    val empty = workers.map { it.copy(free = it.accelerators, isUsable = true) }
    return FreeSpace(empty).find(gang, FitOrder.TIGHTEST) { true } != null
}
