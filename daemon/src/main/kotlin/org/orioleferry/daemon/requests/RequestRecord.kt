package org.orioleferry.daemon.requests

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.orioleferry.core.api.RequestBody
import org.orioleferry.core.api.RequestStatus
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName
import java.security.MessageDigest

/** State of the row of a non-idempotent request. */
@Serializable
internal enum class RecordState {
    /** The request may be sent to the worker in the row. */
    @SerialName("intent")
    INTENT,

    /** The request ran, and the row holds its result. */
    @SerialName("done")
    DONE,

    /** The request ran and failed. */
    @SerialName("failed")
    FAILED,

    /** The request did not run, and the key may be used again. */
    @SerialName("refused")
    REFUSED,
}

/**
 * The row of a non-idempotent request in the table `requests`, key `<workspace>/<key>`.
 *
 * @property workerUrl base URL of the worker, so that the request can be sealed there by an instance that does not
 * know the worker.
 * @property digest SHA-256 of the body in hexadecimal.
 * @property isResultOmitted whether the result was larger than [MAX_RESULT_BYTES].
 */
@Serializable
internal data class RequestRecord(
    val requestId: String,
    val state: RecordState,
    val workspace: WorkspaceName,
    val jobClass: JobClassName,
    val worker: WorkerId,
    val workerUrl: String,
    val instance: InstanceId,
    val digest: String,
    val createdWallMs: Long,
    val result: String? = null,
    val isResultOmitted: Boolean = false,
    val reason: String? = null,
) {
    fun toJson(): String = json.encodeToString(serializer(), this)

    fun toStatus(): RequestStatus = RequestStatus(requestId, state.name.lowercase(), worker, result, reason)

    fun done(result: String): RequestRecord =
        if (result.toByteArray().size > MAX_RESULT_BYTES) {
            copy(state = RecordState.DONE, isResultOmitted = true)
        } else {
            copy(state = RecordState.DONE, result = result)
        }

    fun failed(reason: String): RequestRecord = copy(state = RecordState.FAILED, reason = reason.take(MAX_REASON_CHARS))

    fun refused(reason: String): RequestRecord =
        copy(state = RecordState.REFUSED, reason = reason.take(MAX_REASON_CHARS))

    companion object {
        const val TABLE = "requests"
        const val MAX_RESULT_BYTES = 16 * 1_024
        private const val MAX_REASON_CHARS = 500
        private val json = Json { ignoreUnknownKeys = true }

        fun keyOf(
            workspace: WorkspaceName,
            key: String,
        ): String = "$workspace/$key"

        /** Reads a row; null when its value is not a request record. */
        fun parse(value: String): RequestRecord? =
            runCatching { json.decodeFromString(serializer(), value) }.getOrNull()

        /**
         * Digest of the fields of [body] that distinguish one request from another. The deadline is left out, since a
         * repeat may have less time left. Every field is preceded by its length, so that no two bodies give the same
         * input.
         */
        fun digestOf(body: RequestBody): String {
            val digest = MessageDigest.getInstance("SHA-256")
            val fields =
                listOf(body.workspace.value, body.caller, body.jobClass.value, body.payload, body.workMs.toString())
            fields.map(String::toByteArray).forEach { field ->
                digest.update("${field.size}:".toByteArray())
                digest.update(field)
            }
            return digest.digest().joinToString("") { "%02x".format(it) }
        }
    }
}

/** A record with the version of its row. */
internal data class StoredRecord(
    val record: RequestRecord,
    val version: Long,
)

/** The intent row that one call holds, from its first attempt to its end. Confined to that call. */
internal class IntentHold {
    /** The row as this call wrote it last, or null when it holds none. */
    var held: StoredRecord? = null
        private set

    /** Version that the next write of the row expects: 0 for an absent row. */
    var expectedVersion: Long = 0

    /** Whether a byte of the held request may have reached its worker. */
    var isSent: Boolean = false

    /** Whether an intent was written whose answer is missing, so that a row of an unsent request may appear. */
    var hasUncertainIntent: Boolean = false

    /** Request identifiers of all attempts. */
    val attempts: MutableList<String> = mutableListOf()

    /** Records that this call has written [record] with [version]. */
    fun hold(
        record: RequestRecord,
        version: Long,
    ) {
        held = StoredRecord(record, version)
        expectedVersion = version
        isSent = false
    }

    /** Releases the row, which now has [version] and does not belong to this call. */
    fun release(version: Long) {
        held = null
        expectedVersion = version
        isSent = false
    }
}
