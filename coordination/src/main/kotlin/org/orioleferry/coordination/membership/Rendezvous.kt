package org.orioleferry.coordination.membership

import org.orioleferry.core.model.InstanceId

/**
 * Rendezvous hash: orders [candidates] for [key], the preferred one first.
 *
 * Every instance computes the same order, and a candidate that joins or leaves does not reorder the others.
 */
public fun rendezvousOrder(
    key: String,
    candidates: Collection<InstanceId>,
): List<InstanceId> =
    candidates.distinct().sortedWith(compareByDescending<InstanceId> { rendezvousWeight(key, it) }.thenBy { it.value })

/** Weight of [candidate] for [key]; the candidate with the greatest weight is preferred. */
internal fun rendezvousWeight(
    key: String,
    candidate: InstanceId,
): Long {
    // FNV-1a alone gives correlated weights for keys that differ in their last character, so SplitMix64 mixes them.
    var hash = FNV_OFFSET
    "$key/$candidate".forEach { hash = (hash xor it.code.toLong()) * FNV_PRIME }
    hash = (hash xor (hash ushr 30)) * MIX_FIRST
    hash = (hash xor (hash ushr 27)) * MIX_SECOND
    return hash xor (hash ushr 31)
}

private const val FNV_OFFSET = -0x340d631b7bdddcdbL
private const val FNV_PRIME = 0x100000001b3L
private const val MIX_FIRST = -0x40a7b892e31b1a47L
private const val MIX_SECOND = -0x6b2fb644ecceee15L
