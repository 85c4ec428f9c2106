package org.orioleferry.standins.measure

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.int
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.orioleferry.platform.WorkerRequest
import java.io.File
import java.lang.management.ManagementFactory
import java.util.concurrent.atomic.AtomicInteger

/** Sends one request to a worker and returns whether the complete answer to this request arrived. */
internal typealias SendRequest = suspend (WorkerRequest) -> Boolean

/**
 * Figures of one run. Latencies are in microseconds.
 *
 * @property cpuMicros processor time of this process per request, in microseconds.
 * @property residentKiB resident memory of this process after the run in KiB, or -1 where it is not available.
 *   It covers every engine that the process has run so far.
 */
internal data class EngineFigures(
    val engine: String,
    val concurrency: Int,
    val failures: Int,
    val requestsPerSecond: Long,
    val p50Micros: Long,
    val p99Micros: Long,
    val cpuMicros: Long,
    val threads: Int,
    val residentKiB: Long,
) {
    override fun toString(): String =
        "$engine concurrency=$concurrency failures=$failures requestsPerSecond=$requestsPerSecond " +
            "p50us=$p50Micros p99us=$p99Micros cpuUs=$cpuMicros threads=$threads residentKiB=$residentKiB"
}

/** Compares HTTP client engines against one worker. Requests have no work, so that the client's cost is measured. */
private class ClientEngines : CliktCommand(name = "client-engines") {
    private val worker by option(help = "base URL of the worker's API").required()
    private val requests by option(help = "requests of one run").int().default(20_000)
    private val rounds by option(help = "rounds; the engines take turns in each").int().default(3)

    private val engines by option("--engine", help = "engine to measure; repeatable; default: every engine")
        .choice(*engineVariants.keys.toTypedArray())
        .multiple()

    // More callers than this would be refused as busy by a worker with 64 slots.
    private val concurrency by option(help = "callers at a time").int().default(16)

    override fun run() {
        allowConnectionHeader()
        runBlocking(Dispatchers.Default) {
            val variants = engines.ifEmpty { engineVariants.keys }.associateWith { engineVariants.getValue(it) }
            variants.forEach { (name, open) -> open(worker).use { measure("$name warm-up", it.send) } }
            repeat(rounds) {
                variants.forEach { (name, open) -> open(worker).use { println(measure(name, it.send)) } }
            }
        }
    }

    private suspend fun measure(
        engine: String,
        send: SendRequest,
    ): EngineFigures {
        val latencies = LongArray(requests)
        val failures = AtomicInteger()
        val next = AtomicInteger()
        val cpuBefore = processCpuNanos()
        val started = System.nanoTime()
        coroutineScope {
            repeat(concurrency) {
                launch {
                    while (true) {
                        val number = next.getAndIncrement()
                        if (number >= requests) break
                        val sent = System.nanoTime()
                        if (!send(requestOf(engine, number, started))) failures.incrementAndGet()
                        latencies[number] = System.nanoTime() - sent
                    }
                }
            }
        }
        val elapsed = System.nanoTime() - started
        val cpu = processCpuNanos() - cpuBefore
        latencies.sort()
        return EngineFigures(
            engine = engine,
            concurrency = concurrency,
            failures = failures.get(),
            requestsPerSecond = requests * NANOS_PER_SECOND / elapsed,
            p50Micros = latencies[requests / 2] / NANOS_PER_MICRO,
            p99Micros = latencies[requests / 100 * 99] / NANOS_PER_MICRO,
            cpuMicros = cpu / requests / NANOS_PER_MICRO,
            threads = ManagementFactory.getThreadMXBean().threadCount,
            residentKiB = residentKiB(),
        )
    }

    private fun requestOf(
        engine: String,
        number: Int,
        run: Long,
    ): WorkerRequest = WorkerRequest("$engine-$run-$number", jobClass = "measure", payload = PAYLOAD)

    private fun processCpuNanos(): Long =
        (ManagementFactory.getOperatingSystemMXBean() as com.sun.management.OperatingSystemMXBean).processCpuTime

    private fun residentKiB(): Long {
        val status = File("/proc/self/status").takeIf { it.canRead() } ?: return -1
        val line = status.readLines().find { it.startsWith("VmRSS:") } ?: return -1
        return line.filter { it.isDigit() }.toLong()
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
        const val NANOS_PER_MICRO = 1_000L

        // About the size of the payload of a weighing slip.
        val PAYLOAD = "x".repeat(200)
    }
}

/** Starts the comparison. */
public fun main(arguments: Array<String>): Unit = ClientEngines().main(arguments)
