package org.orioleferry.bench.capacity

import java.lang.management.ManagementFactory

/** Processor time in milliseconds that all threads of this process use during [block]. */
internal suspend fun processorMsOf(block: suspend () -> Unit): Double {
    val bean = ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean
    val beforeNanos = bean.processCpuTime
    block()
    return (bean.processCpuTime - beforeNanos) / NANOS_PER_MS
}

private const val NANOS_PER_MS = 1e6
