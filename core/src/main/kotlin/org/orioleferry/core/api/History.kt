package org.orioleferry.core.api

import kotlinx.serialization.Serializable
import org.orioleferry.core.model.Policy
import org.orioleferry.core.model.ReleaseNote

/** A committed release note and the version that it created. */
@Serializable
public data class NoteEntry(
    val version: Long,
    val note: ReleaseNote,
)

/** Response of `GET /v1/notes`, ordered by version. */
@Serializable
public data class NoteHistory(
    val notes: List<NoteEntry>,
)

/** Response of `GET /v1/policies`. */
@Serializable
public data class PolicyList(
    val policies: List<Policy>,
)
