package org.orioleferry.bench.process

import java.io.File
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Current and peak resident memory in kilobytes, and processor time in milliseconds. */
internal data class ProcessUsage(
    val residentKb: Long,
    val peakResidentKb: Long,
    val processorMs: Long,
)

/** A program of this project that runs as a separate process on this machine. */
internal class LocalProcess private constructor(
    val name: String,
    private val process: Process,
    private val firstLine: CompletableFuture<String>,
) {
    /** Operating system process id, which differs between two processes of the same name. */
    val id: Long get() = process.pid()

    val isAlive: Boolean get() = process.isAlive

    /** Waits for the line `listening on ...` that the program prints when ready, and returns its port numbers. */
    fun awaitPorts(): List<Int> {
        val line = firstLine.get(START_TIMEOUT_MS, TimeUnit.MILLISECONDS)
        check(line.startsWith(READY_PREFIX)) { "$name did not start: $line" }
        return line
            .removePrefix(READY_PREFIX)
            .trim()
            .split(' ')
            .map(String::toInt)
    }

    /** Sends SIGTERM and waits for the process to end; returns the exit code, or null after [limitMs]. */
    fun terminate(limitMs: Long = STOP_TIMEOUT_MS): Int? {
        process.destroy()
        return if (process.waitFor(limitMs, TimeUnit.MILLISECONDS)) process.exitValue() else null
    }

    /** Sends SIGKILL. */
    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends SIGSTOP, which pauses the process. */
    fun pause() = signal("STOP")

    /** Sends SIGCONT, which resumes a paused process. */
    fun resume() = signal("CONT")

    /** Reads the usage from the process file system; null when the process has ended. */
    fun usage(): ProcessUsage? {
        val folder = Path.of("/proc/${process.pid()}")
        val status = runCatching { Files.readAllLines(folder.resolve("status")) }.getOrNull() ?: return null
        val times = runCatching { Files.readString(folder.resolve("stat")) }.getOrNull() ?: return null
        val fields = times.substringAfterLast(')').trim().split(' ')
        val ticks = fields[USER_TIME_FIELD].toLong() + fields[SYSTEM_TIME_FIELD].toLong()
        return ProcessUsage(status.kilobytes("VmRSS"), status.kilobytes("VmHWM"), ticks * MS_PER_TICK)
    }

    private fun signal(signal: String) {
        ProcessBuilder("kill", "-$signal", process.pid().toString()).inheritIO().start().waitFor()
    }

    companion object {
        private const val READY_PREFIX = "listening on"
        private const val START_TIMEOUT_MS = 30_000L
        private const val STOP_TIMEOUT_MS = 40_000L
        private const val USER_TIME_FIELD = 11
        private const val SYSTEM_TIME_FIELD = 12
        private const val MS_PER_TICK = 10L

        /** Starts [mainClass] on the class path of this process; standard error goes to `<name>.log` in [folder]. */
        fun start(
            name: String,
            mainClass: String,
            arguments: List<String>,
            folder: Path,
        ): LocalProcess {
            val command = listOf("java") + javaOptions() + listOf("-cp", classPath(), mainClass) + arguments
            val builder = ProcessBuilder(command).redirectError(folder.resolve("$name.log").toFile())
            builder.environment()["MALLOC_ARENA_MAX"] = "2"
            val process = builder.start()
            Runtime.getRuntime().addShutdownHook(Thread { process.destroyForcibly() })
            return LocalProcess(name, process, readFirstLine(name, process))
        }

        private fun readFirstLine(
            name: String,
            process: Process,
        ): CompletableFuture<String> {
            val firstLine = CompletableFuture<String>()
            thread(isDaemon = true, name = "$name-output") {
                process.inputStream.bufferedReader().useLines { lines -> lines.forEach { firstLine.complete(it) } }
                firstLine.complete("the process ended without output")
            }
            return firstLine
        }

        private fun javaOptions(): List<String> =
            System
                .getenv("ORIOLEFERRY_JAVA_OPTIONS")
                .orEmpty()
                .split(' ')
                .filter(String::isNotBlank)

        private fun classPath(): String = System.getProperty("java.class.path").ifEmpty { File("lib/*").path }
    }
}

private fun List<String>.kilobytes(field: String): Long =
    first { it.startsWith("$field:") }.filter(Char::isDigit).toLong()
