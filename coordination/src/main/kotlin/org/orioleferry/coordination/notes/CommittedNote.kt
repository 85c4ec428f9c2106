package org.orioleferry.coordination.notes

import kotlinx.serialization.Serializable
import org.orioleferry.core.model.InstanceId
import org.orioleferry.core.model.ReleaseNote

/**
 * A release note as stored in the table `notes`.
 *
 * @property contentDigest SHA-256 of the note as its author sent it; tells a repeat from another note of the same id.
 * @property digest SHA-256 over the previous digest, the version and [contentDigest], so that a chain can be verified.
 * @property committedWallMs wall clock of the committing instance, for display.
 */
@Serializable
public data class CommittedNote(
    val version: Long,
    val note: ReleaseNote,
    val contentDigest: String,
    val digest: String,
    val instance: InstanceId,
    val committedWallMs: Long,
)
