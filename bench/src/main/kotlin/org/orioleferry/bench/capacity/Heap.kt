package org.orioleferry.bench.capacity

/** Live heap in bytes after several collections, since a single one can leave objects with pending cleanup. */
internal fun liveHeapBytes(): Long {
    val runtime = Runtime.getRuntime()
    repeat(COLLECTION_COUNT) {
        System.gc()
        Thread.sleep(COLLECTION_PAUSE_MS)
    }
    return runtime.totalMemory() - runtime.freeMemory()
}

/** Holds a value and measures the heap that is freed when the value is released. */
internal class ReleasableValue<T>(
    private var value: T?,
) {
    fun get(): T = checkNotNull(value) { "the value has already been released" }

    /**
     * Releases the value after [stop] has ended its coroutines, and returns the freed heap in bytes, that is, what was
     * reachable through the value only.
     */
    suspend fun releaseAndMeasure(stop: suspend (T) -> Unit): Long {
        val before = liveHeapBytes()
        stop(get())
        value = null
        return before - liveHeapBytes()
    }
}

private const val COLLECTION_COUNT = 4
private const val COLLECTION_PAUSE_MS = 40L
