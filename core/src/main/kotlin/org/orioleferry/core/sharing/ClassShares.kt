package org.orioleferry.core.sharing

import kotlinx.serialization.Serializable
import org.orioleferry.core.model.JobClass
import org.orioleferry.core.model.JobClassName
import kotlin.math.ceil
import kotlin.math.floor
import kotlin.math.max
import kotlin.math.min

/** Numbers of waiting and of running requests of one class on one instance. */
@Serializable
public data class ClassLoad(
    val queued: Int = 0,
    val running: Int = 0,
) {
    /** Slots that the class could use now. */
    val demand: Int get() = queued + running
}

/** Divides capacity among classes by weights and floors. */
public object ClassShares {
    /** Demand above this share of the capacity counts as contention. */
    private const val CONTENTION_SHARE = 0.95

    /** Factor on the demand of a class, as headroom for its growth between two exchanges of loads. */
    private const val DEMAND_HEADROOM = 1.25
    private const val ROUNDING_TOLERANCE = 1e-6

    /**
     * Share of each of [classes] when all of them have more work than capacity: proportional to the weight, but not
     * below the floor. Floors that add up to more than 1 are scaled down.
     */
    public fun contendedShares(classes: Collection<JobClass>): Map<JobClassName, Double> {
        val floorScale = min(1.0, 1.0 / max(1e-9, classes.sumOf { it.floorShare }))
        val atFloor = mutableMapOf<JobClassName, Double>()
        while (true) {
            val rest = classes.filter { it.name !in atFloor }
            val free = max(0.0, 1.0 - atFloor.values.sum())
            val weights = rest.sumOf { it.weight.coerceAtLeast(1) }.toDouble()
            val below = rest.filter { free * it.weight.coerceAtLeast(1) / weights < it.floorShare * floorScale }
            if (below.isEmpty()) {
                return atFloor + rest.associate { it.name to free * it.weight.coerceAtLeast(1) / weights }
            }
            below.forEach { atFloor[it.name] = it.floorShare * floorScale }
        }
    }

    /**
     * Slots that this instance may use for each class, or an empty map when there is no contention.
     *
     * Each class is entitled to its contended share of [capacity] in all instances together, and what it does not need
     * goes to the others. An instance gets the part of it that corresponds to its part of the demand, and at least one.
     * This keeps the floor of a class whose requests arrive at other instances than a flood of another class.
     */
    public fun computeLocalCaps(
        classes: Collection<JobClass>,
        capacity: Int,
        local: Map<JobClassName, ClassLoad>,
        peers: List<Map<JobClassName, ClassLoad>>,
    ): Map<JobClassName, Int> {
        val everywhere = classes.associate { it.name to demandOf(it.name, peers + listOf(local)) }
        if (everywhere.values.sum() <= capacity * CONTENTION_SHARE) return emptyMap()
        val entitledSlots = entitledSlots(classes, capacity, everywhere)
        return classes.associate {
            val total = max(1, everywhere.getValue(it.name))
            val here = local[it.name]?.demand ?: 0
            val slots = entitledSlots.getValue(it.name)
            val part = slots * here / total
            // Rounding up every class would add up to more slots than there are, at the expense of the floors.
            val isAtFloor = slots <= it.floorShare * capacity + ROUNDING_TOLERANCE
            it.name to max(1, (if (isAtFloor) ceil(part) else floor(part + ROUNDING_TOLERANCE)).toInt())
        }
    }

    private fun demandOf(
        name: JobClassName,
        loads: List<Map<JobClassName, ClassLoad>>,
    ): Int = loads.sumOf { it[name]?.demand ?: 0 }

    /** Slots for each class: shares are filled until the capacity is used up or every demand is met. */
    private fun entitledSlots(
        classes: Collection<JobClass>,
        capacity: Int,
        demand: Map<JobClassName, Int>,
    ): Map<JobClassName, Double> {
        val met = mutableMapOf<JobClassName, Double>()
        while (true) {
            val rest = classes.filter { it.name !in met }
            val free = max(0.0, capacity - met.values.sum())
            val shares = contendedShares(rest.map { it.copy(floorShare = it.floorShare * capacity / max(1.0, free)) })
            val small = rest.filter { demand.getValue(it.name) * DEMAND_HEADROOM <= shares.getValue(it.name) * free }
            if (small.isEmpty()) return met + rest.associate { it.name to shares.getValue(it.name) * free }
            small.forEach { met[it.name] = demand.getValue(it.name) * DEMAND_HEADROOM }
            if (met.size == classes.size) return met
        }
    }
}
