package org.orioleferry.core.api

import kotlinx.serialization.Serializable
import org.orioleferry.core.Failure
import org.orioleferry.core.event.Event
import org.orioleferry.core.model.DataCentre
import org.orioleferry.core.model.Epoch
import org.orioleferry.core.model.Gang
import org.orioleferry.core.model.Guarantee
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.JobClassName
import org.orioleferry.core.model.JobId
import org.orioleferry.core.model.JobRecord
import org.orioleferry.core.model.JobState
import org.orioleferry.core.model.WorkerId
import org.orioleferry.core.model.WorkspaceName

/** Response body of every failure. `notRun` is true only if the work certainly did not run and will not run. */
@Serializable
public data class ErrorBody(
    val error: ErrorDetail,
)

/** The failure in an [ErrorBody]. */
@Serializable
public data class ErrorDetail(
    val code: String,
    val message: String,
    val notRun: Boolean,
    val retryAfterMs: Long? = null,
    val details: Map<String, String> = emptyMap(),
)

/** Wire form of a [Failure]. */
public fun Failure.toErrorBody(): ErrorBody =
    ErrorBody(ErrorDetail(code.name, message, isNotRun, retryAfterMs, details))

/** Body of `POST /v1/requests`. A [key] is required when the class is not idempotent. */
@Serializable
public data class RequestBody(
    val workspace: WorkspaceName,
    val caller: String,
    val jobClass: JobClassName,
    val key: String? = null,
    val payload: String = "",
    val workMs: Long = 0,
    val deadlineMs: Long? = null,
)

/** Response to a request that ran. */
@Serializable
public data class RequestAnswer(
    val requestId: String,
    val outcome: String,
    val result: String,
    val worker: WorkerId,
)

/** Body of `POST /v1/jobs`. Without [dataCentre] the instance chooses one. A [suffix] makes repeats idempotent. */
@Serializable
public data class JobSubmission(
    val workspace: WorkspaceName,
    val caller: String,
    val jobClass: JobClassName,
    val gang: Gang,
    val declaredRunMs: Long,
    val workMs: Long = declaredRunMs,
    val dataCentre: DataCentre? = null,
    val suffix: String? = null,
)

/** Response of `POST /v1/jobs`. */
@Serializable
public data class JobAccepted(
    val jobId: JobId,
    val state: JobState,
)

/** Response of `GET /v1/jobs`. */
@Serializable
public data class JobList(
    val jobs: List<JobRecord>,
)

/** Response of `POST /v1/notes`. */
@Serializable
public data class NoteAccepted(
    val version: Long,
    val alreadyApplied: Boolean = false,
)

/** Version of the configuration in force on one instance. */
@Serializable
public data class InstanceVersion(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val version: Long,
)

/** Response of `GET /v1/notes/status`. */
@Serializable
public data class NoteStatus(
    val head: Long,
    val instances: List<InstanceVersion>,
)

/** One worker as the responding instance sees it. */
@Serializable
public data class WorkerView(
    val id: WorkerId,
    val dataCentre: DataCentre,
    val rack: String,
    val state: String,
    val accelerators: Int,
    val acceleratorsInUse: Int,
    val slots: Int,
    val slotsInUse: Int,
)

/** Response of `GET /v1/workers`. */
@Serializable
public data class WorkerList(
    val workers: List<WorkerView>,
)

/** One workspace: accelerators guaranteed, used, borrowed beyond the guarantee, and reclaimable from borrowers. */
@Serializable
public data class WorkspaceView(
    val name: WorkspaceName,
    val guarantees: List<Guarantee>,
    val guaranteed: Int,
    val used: Int,
    val borrowed: Int,
    val reclaimable: Int,
)

/** Response of `GET /v1/workspaces`. */
@Serializable
public data class WorkspaceList(
    val workspaces: List<WorkspaceView>,
)

/** One entry instance and the data centres that it owns. */
@Serializable
public data class InstanceView(
    val id: InstanceId,
    val dataCentre: DataCentre,
    val state: String,
    val noteVersion: Long,
    val owned: Map<DataCentre, Epoch>,
)

/** Response of `GET /v1/instances`. */
@Serializable
public data class InstanceList(
    val instances: List<InstanceView>,
)

/** Work that operators have to check: late, lost or of unknown outcome. */
@Serializable
public data class LateItem(
    val kind: String,
    val id: String,
    val workspace: WorkspaceName,
    val state: String,
    val lateMs: Long,
    val reason: String? = null,
)

/** Response of `GET /v1/late`. */
@Serializable
public data class LateList(
    val items: List<LateItem>,
)

/** Response of `GET /v1/events`, ordered by logical time. */
@Serializable
public data class EventList(
    val events: List<Event>,
)

/**
 * Response of `GET /v1/requests/{workspace}/{key}`.
 *
 * @property state `intent` while the outcome is unknown, `done`, `failed`, or `refused` when the request did not run.
 * @property result recorded result of a request that is done, unless it was too large to be recorded.
 */
@Serializable
public data class RequestStatus(
    val requestId: String,
    val state: String,
    val worker: WorkerId,
    val result: String? = null,
    val reason: String? = null,
)
