package org.orioleferry.core.model

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How close together the members of a gang must be. */
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

/** A promise to a workspace: [count] blocks of [accelerators] accelerators, each block within [adjacency]. */
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
 * A kind of work.
 *
 * @property urgency 0 is the most urgent, 9 the least.
 * @property idempotent whether running the work twice does no harm.
 * @property preemptible whether a running job may be stopped for another; only such jobs borrow capacity.
 * @property deadlineMs default deadline of a request in milliseconds.
 * @property weight relative share of the class under contention.
 * @property floorShare share of the capacity, 0 to 1, that the class keeps in a flood of other work.
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
        /** Urgency of a class that states none. */
        public const val DEFAULT_URGENCY: Int = 5

        /** Deadline of a class that states none. */
        public const val DEFAULT_DEADLINE_MS: Long = 5_000
    }
}

/** Name of a placement algorithm that the code knows. */
@Serializable
public enum class PlacementKind {
    /** First worker that fits, jobs in arrival order. */
    @SerialName("first-fit")
    FIRST_FIT,

    /** Tightest fit, with backfill by observed run times. */
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
