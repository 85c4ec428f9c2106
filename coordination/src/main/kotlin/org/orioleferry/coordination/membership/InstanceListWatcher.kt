package org.orioleferry.coordination.membership

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import org.orioleferry.core.Clock
import org.orioleferry.platform.InstanceList
import org.orioleferry.platform.ListedInstance
import org.orioleferry.platform.ReadResult
import kotlin.random.Random

/**
 * Period of the reads of the platform's list.
 *
 * @property minPeriodMs shortest period of the reads and the period after a failed read, each before a random reduction
 * of up to 10 %.
 * @property perEntryMs time between two reads for each entry of the list. An entry is about 150 B, so 300 ms keep the
 * reads at 0.5 KB/s whatever the size of the fleet. Slow reads suffice, since failures are noticed sooner by failed
 * calls and by reports of other instances.
 * @property startupMs time after the first read in which [minPeriodMs] alone applies. The list lags, so instances that
 * start together do not find each other in their first read.
 */
public data class ListSettings(
    val minPeriodMs: Long = 2_000,
    val perEntryMs: Long = 300,
    val startupMs: Long = 30_000,
)

/** Polls the platform's list of instances on behalf of all its users in this process. */
public class InstanceListWatcher(
    private val list: InstanceList,
    private val random: Random,
    private val clock: Clock,
    private val settings: ListSettings = ListSettings(),
) {
    private val firstReadMs by lazy { clock.monotonicMs() }
    private val latest = MutableStateFlow<List<ListedInstance>?>(null)

    /** The list as last read; null until the first read succeeds. A failed read keeps the previous list. */
    public val instances: StateFlow<List<ListedInstance>?> = latest.asStateFlow()

    /** Polls the list until cancelled. */
    public suspend fun run() {
        while (true) delay(readOnce())
    }

    /** Reads the list once and returns the time until the next read in milliseconds. */
    public suspend fun readOnce(): Long {
        val isStarting = clock.monotonicMs() - firstReadMs < settings.startupMs
        val result = list.list()
        if (result is ReadResult.Found) latest.value = result.value
        val entries = (result as? ReadResult.Found)?.value?.size ?: 0
        val steadyMs = maxOf(settings.minPeriodMs, entries * settings.perEntryMs)
        val periodMs = if (isStarting) settings.minPeriodMs else steadyMs
        return periodMs - random.nextLong(periodMs / JITTER_DIVISOR + 1)
    }

    private companion object {
        const val JITTER_DIVISOR = 10
    }
}
