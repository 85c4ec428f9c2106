package org.orioleferry.coordination.ownership

import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.InstanceId
import org.orioleferry.platform.Row

/**
 * Value of the lease row. An empty [owner] means released.
 *
 * [incarnation] distinguishes the owner's process from an earlier one of the same id, which had a state of its own.
 */
@Serializable
internal data class LeaseValue(
    val owner: InstanceId,
    val incarnation: Long,
    val epoch: Epoch,
    val ttlMs: Long,
    val renewals: Long = 0,
) {
    val isReleased: Boolean get() = owner.value.isEmpty()

    fun toJson(): String = rowFormat.encodeToString(serializer(), this)
}

/** Value of the fence row, which changes only with the owner. */
@Serializable
internal data class FenceValue(
    val owner: InstanceId,
    val epoch: Epoch,
) {
    fun toJson(): String = rowFormat.encodeToString(serializer(), this)
}

/** The value of a row, or null when the row is malformed. */
internal fun Row.toLease(): LeaseValue? = decodeOrNull { rowFormat.decodeFromString(LeaseValue.serializer(), value) }

/** The value of a row, or null when the row is malformed. */
internal fun Row.toFence(): FenceValue? = decodeOrNull { rowFormat.decodeFromString(FenceValue.serializer(), value) }

private val rowFormat =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }

private inline fun <T> decodeOrNull(decode: () -> T): T? =
    try {
        decode()
    } catch (_: SerializationException) {
        null
    }
