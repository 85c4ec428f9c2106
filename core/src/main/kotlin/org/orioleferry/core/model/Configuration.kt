package org.orioleferry.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The range within which all members of a gang have to be placed. */
@Serializable
public enum class Adjacency {
    /** All members on one worker. */
    @SerialName("worker")
    WORKER,

    /** All members in one rack. */
    @SerialName("rack")
    RACK,

    /** All members in one data centre. */
    @SerialName("data-centre")
    DATA_CENTRE,
}

/** Guaranteed capacity of a workspace: [count] blocks of [accelerators] accelerators, each within [adjacency]. */
@Serializable
public data class Guarantee(
    val dataCentre: DataCentre,
    val count: Int,
    val accelerators: Int,
    val adjacency: Adjacency = Adjacency.WORKER,
)

/** Upper limit on the accelerators that a workspace uses in one data centre. */
@Serializable
public data class Quota(
    val dataCentre: DataCentre,
    val accelerators: Int,
)

/** A tenant with a [weight] for fair sharing, guaranteed shapes and quotas. */
@Serializable
public data class Workspace(
    val name: WorkspaceName,
    val weight: Int = 1,
    val guarantees: List<Guarantee> = emptyList(),
    val quotas: List<Quota> = emptyList(),
)

/**
 * A class of requests or jobs, with the rules by which they are scheduled.
 *
 * @property urgency 0 is the most urgent, 9 the least.
 * @property idempotent whether the work can safely run more than once.
 * @property preemptible whether a running job may be stopped for another; only such jobs borrow capacity.
 * @property deadlineMs default deadline of a request in milliseconds.
 * @property weight relative share of the class under contention.
 * @property floorShare minimum share of the capacity, 0 to 1, that the class keeps under load from other classes.
 */
@Serializable
public data class JobClass(
    val name: JobClassName,
    val urgency: Int = DEFAULT_URGENCY,
    val idempotent: Boolean = true,
    val preemptible: Boolean = true,
    val deadlineMs: Long = DEFAULT_DEADLINE_MS,
    val weight: Int = 1,
    val floorShare: Double = 0.0,
) {
    public companion object {
        /** Urgency of a class that does not specify one. */
        public const val DEFAULT_URGENCY: Int = 5

        /** Deadline in milliseconds of a class that does not specify one. */
        public const val DEFAULT_DEADLINE_MS: Long = 5_000
    }
}

/** A supported placement algorithm. */
@Serializable
public enum class PlacementKind {
    /** Takes jobs in arrival order and the first worker that fits. */
    @SerialName("first-fit")
    FIRST_FIT,

    /** Takes the worker with the tightest fit, with backfill based on observed run times. */
    @SerialName("best-fit")
    BEST_FIT,

    /** Keeps guaranteed shapes reclaimable and reserves room for large gangs. */
    @SerialName("guarantee-aware")
    GUARANTEE_AWARE,
}

/** A named placement policy, in force in [dataCentres], or in all of them when the list is empty. */
@Serializable
public data class Policy(
    val name: String,
    val placement: PlacementKind,
    val dataCentres: List<DataCentre> = emptyList(),
)

/** Definitions that a release note adds or changes. */
@Serializable
public data class Definitions(
    val workspaces: List<Workspace> = emptyList(),
    val classes: List<JobClass> = emptyList(),
    val policies: List<Policy> = emptyList(),
)

/** Names that a release note withdraws. */
@Serializable
public data class Withdrawals(
    val workspaces: List<WorkspaceName> = emptyList(),
    val classes: List<JobClassName> = emptyList(),
    val policies: List<String> = emptyList(),
)

/**
 * One change of configuration.
 *
 * @property noteId chosen by the operator; applying a note with the same identifier again has no further effect.
 * @property baseVersion when given, the note is refused unless this is the version in force.
 */
@Serializable
public data class ReleaseNote(
    val noteId: String,
    val author: String = "",
    val baseVersion: Long? = null,
    val add: Definitions = Definitions(),
    val change: Definitions = Definitions(),
    val withdraw: Withdrawals = Withdrawals(),
)

/** The configuration after [version] release notes. */
@Serializable
public data class Configuration(
    val version: Long = 0,
    val workspaces: Map<WorkspaceName, Workspace> = emptyMap(),
    val classes: Map<JobClassName, JobClass> = emptyMap(),
    val policies: Map<String, Policy> = emptyMap(),
)
