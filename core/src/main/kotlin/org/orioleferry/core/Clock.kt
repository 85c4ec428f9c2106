package org.orioleferry.core

/**
 * Source of time in milliseconds.
 *
 * [monotonicMs] never goes back and is the only reading that a timeout or a lease may be judged by.
 * [wallMs] is for display and time lines, since it may step in either direction.
 */
public interface Clock {
    /** Milliseconds since an arbitrary fixed point of this process. */
    public fun monotonicMs(): Long

    /** Milliseconds since the Unix epoch. */
    public fun wallMs(): Long
}

/** The clock of the operating system. */
public object SystemClock : Clock {
    private const val NANOS_PER_MS = 1_000_000L

    override fun monotonicMs(): Long = System.nanoTime() / NANOS_PER_MS

    override fun wallMs(): Long = System.currentTimeMillis()
}

/** A clock that moves only when told to, for tests and for replays in virtual time. */
public class ManualClock(
    private var monotonic: Long = 0,
    private var wall: Long = 0,
) : Clock {
    override fun monotonicMs(): Long = monotonic

    override fun wallMs(): Long = wall

    /** Moves both readings forward by [ms] milliseconds. */
    public fun advance(ms: Long) {
        monotonic += ms
        wall += ms
    }

    /** Steps the wall clock by [ms] milliseconds, which may be negative. */
    public fun stepWall(ms: Long) {
        wall += ms
    }
}
