package org.orioleferry.core.model

import kotlinx.serialization.Serializable

/** Name of an entry instance, unique among the instances of one deployment. */
@Serializable
@JvmInline
public value class InstanceId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a data centre, which is also the scheduling domain that one owner places jobs in. */
@Serializable
@JvmInline
public value class DataCentre(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a worker. */
@Serializable
@JvmInline
public value class WorkerId(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a workspace. */
@Serializable
@JvmInline
public value class WorkspaceName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Name of a job class. */
@Serializable
@JvmInline
public value class JobClassName(
    public val value: String,
) {
    override fun toString(): String = value
}

/** Identifier of a job: `<dataCentre>.<suffix>`, from which any instance derives the key of the job's row. */
@Serializable
@JvmInline
public value class JobId(
    public val value: String,
) {
    /** The data centre that the job belongs to. */
    public val dataCentre: DataCentre get() = DataCentre(value.substringBefore(SEPARATOR))

    override fun toString(): String = value

    public companion object {
        private const val SEPARATOR = '.'

        /** Creates the identifier of a job of [dataCentre] with a [suffix] that is unique there. */
        public fun of(
            dataCentre: DataCentre,
            suffix: String,
        ): JobId = JobId("$dataCentre$SEPARATOR$suffix")
    }
}

/** Fencing epoch of a scheduling domain. Increases by one at each change of owner. */
@Serializable
@JvmInline
public value class Epoch(
    public val value: Long,
) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    /** Returns the epoch of the next owner. */
    public fun next(): Epoch = Epoch(value + 1)

    override fun toString(): String = value.toString()

    public companion object {
        /** The epoch before the first owner. */
        public val NONE: Epoch = Epoch(0)
    }
}
