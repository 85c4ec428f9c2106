package org.orioleferry.bench.capacity

/** Live heap in bytes: several collections, since one may leave objects whose clean-up it has only begun. */
internal fun liveHeapBytes(): Long {
    val runtime = Runtime.getRuntime()
    repeat(COLLECTIONS) {
        System.gc()
        Thread.sleep(COLLECTION_PAUSE_MS)
    }
    return runtime.totalMemory() - runtime.freeMemory()
}

/** Holds a value that can be let go, so that the heap can be read with it and without it. */
internal class Holder<T>(
    private var value: T?,
) {
    fun get(): T = checkNotNull(value) { "the value was released" }

    /** Bytes that only the value keeps alive; [stop] ends what runs in it. */
    suspend fun release(stop: suspend (T) -> Unit): Long {
        val before = liveHeapBytes()
        stop(get())
        value = null
        return before - liveHeapBytes()
    }
}

private const val COLLECTIONS = 4
private const val COLLECTION_PAUSE_MS = 40L
