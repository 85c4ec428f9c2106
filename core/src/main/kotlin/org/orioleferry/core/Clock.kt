package org.orioleferry.core

/**
 * Source of time in milliseconds.
 *
 * [monotonicMs] never decreases; timeouts and leases must use no other reading. [wallMs] may step in either direction
 * and is for display and timelines only.
 */
public interface Clock {
    /** Milliseconds since an arbitrary origin that is fixed for this process. */
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

/** A clock that advances only on request, for tests and for replays in virtual time. */
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
