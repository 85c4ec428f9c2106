package org.orioleferry.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.UsageError
import com.github.ajalt.clikt.core.terminal
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonElement
import org.orioleferry.core.FailureCode
import org.orioleferry.core.api.ErrorBody
import org.orioleferry.core.api.ErrorDetail

/** A command with an output format. */
internal abstract class ToolCommand(
    name: String,
    private val summary: String,
) : CliktCommand(name) {
    private val output by option("--output", "-o", help = "Format of the output")
        .choice("table", "json")
        .default("table")

    val isJson: Boolean get() = output == "json"

    override fun help(context: Context): String = summary

    fun printJson(element: JsonElement) = echo(toolJson.encodeToString(JsonElement.serializer(), element))

    fun exit(code: ExitCode): Nothing = throw ProgramResult(code.code)

    /** Shows a state that is still changing on one line of a terminal, and nothing when the output is a file. */
    fun showProgress(text: String) {
        if (!terminal.terminalInfo.outputInteractive) return
        terminal.rawPrint("\r$text".padEnd(PROGRESS_WIDTH), stderr = true)
    }

    fun endProgress() {
        if (terminal.terminalInfo.outputInteractive) terminal.rawPrint("\n", stderr = true)
    }

    private companion object {
        const val PROGRESS_WIDTH = 79
    }
}

/** A command that calls daemons. */
internal abstract class DaemonCommand(
    name: String,
    summary: String,
) : ToolCommand(name, summary) {
    private val daemons by option(
        "--daemon",
        envvar = "ORIOLEFERRY_DAEMONS",
        help = "Address of a daemon, such as 127.0.0.1:7101; may be given several times, tried in turn",
    ).multiple()
    private val timeoutMs by option("--timeout-ms", help = "Longest time of a call, in milliseconds")
        .long()
        .restrictTo(1L..3_600_000L)
        .default(10_000)

    final override fun run() {
        DaemonClient(daemonUrls(), timeoutMs).use { client -> runBlocking { execute(client) } }
    }

    abstract suspend fun execute(client: DaemonClient)

    /** Sends [call] and returns the answer; prints every failure and ends the program with its exit code. */
    suspend fun DaemonClient.call(
        call: ApiCall,
        askAgain: String? = null,
    ): JsonElement =
        when (val reply = send(call)) {
            is Reply.Answered -> reply.body
            is Reply.Refused -> reportRefusal(reply, call, askAgain)
            is Reply.Unanswered -> reportUnanswered(reply.attempts, call, askAgain)
            is Reply.Invalid -> reportInvalid(reply, call, askAgain)
        }

    fun <T> JsonElement.decode(serializer: KSerializer<T>): T =
        try {
            toolJson.decodeFromJsonElement(serializer, this)
        } catch (e: SerializationException) {
            echo("The daemon's answer is not understood: ${e.message?.lineSequence()?.first()}", err = true)
            exit(ExitCode.INVALID_ANSWER)
        }

    /** Prints the answer of a plain read, as JSON or as a table of [headings] and the rows of [toRows]. */
    suspend fun <T> DaemonClient.show(
        path: String,
        serializer: KSerializer<T>,
        headings: List<String>,
        toRows: (T) -> List<List<String>>,
    ) {
        val answer = call(getCall(path))
        if (isJson) printJson(answer) else echo(textTable(headings, toRows(answer.decode(serializer))))
    }

    private fun daemonUrls(): List<String> {
        val urls = daemons.flatMap { it.split(',', ' ') }.filter { it.isNotBlank() }.map { it.trim().trimEnd('/') }
        if (urls.isEmpty()) throw UsageError("no daemon given; use --daemon or ORIOLEFERRY_DAEMONS")
        return urls.map { if ("://" in it) it else "http://$it" }
    }

    private fun reportRefusal(
        reply: Reply.Refused,
        call: ApiCall,
        askAgain: String?,
    ): Nothing {
        printError(reply.error)
        // "Not run" holds for the call that was refused, not for an earlier one whose answer was lost.
        val lost = reply.earlier.filter { call.hasEffect && it.mayHaveBeenReceived }
        lost.forEach { echo("${it.daemon} may have received the call before: ${it.reason}", err = true) }
        val code = if (lost.isEmpty()) reply.error.toExitCode(call.hasEffect) else ExitCode.OUTCOME_UNKNOWN
        if (code == ExitCode.OUTCOME_UNKNOWN) askAgain?.let { echo(it, err = true) }
        exit(code)
    }

    private fun reportUnanswered(
        attempts: List<Attempt>,
        call: ApiCall,
        askAgain: String?,
    ): Nothing {
        echo("No daemon answered:", err = true)
        attempts.forEach { echo("  ${it.daemon}: ${it.reason}", err = true) }
        val isUnknown = call.hasEffect && attempts.any { it.mayHaveBeenReceived }
        if (!isUnknown) exit(ExitCode.NO_DAEMON)
        echo("The call may have been received: its outcome is unknown.", err = true)
        askAgain?.let { echo(it, err = true) }
        exit(ExitCode.OUTCOME_UNKNOWN)
    }

    private fun reportInvalid(
        reply: Reply.Invalid,
        call: ApiCall,
        askAgain: String?,
    ): Nothing {
        echo("${reply.daemon} answered ${reply.reason}.", err = true)
        if (call.hasEffect) askAgain?.let { echo(it, err = true) }
        exit(if (call.hasEffect) ExitCode.OUTCOME_UNKNOWN else ExitCode.INVALID_ANSWER)
    }

    private fun printError(error: ErrorDetail) {
        if (isJson) {
            echo(toolJson.encodeToString(ErrorBody.serializer(), ErrorBody(error)), err = true)
            return
        }
        val state = if (error.notRun) "not run" else "not known to be without effect"
        echo("${error.code} ($state): ${error.message}", err = true)
        error.details.forEach { (name, value) -> echo("  $name: $value", err = true) }
        error.retryAfterMs?.let { echo("  try again after $it ms", err = true) }
    }
}

/**
 * Exit code of a typed failure. A call with an effect is reported as a plain refusal only when the failure states
 * "not run"; a read has no outcome that could be unknown.
 */
internal fun ErrorDetail.toExitCode(hasEffect: Boolean): ExitCode =
    when {
        !hasEffect -> ExitCode.REFUSED
        code == FailureCode.OUTCOME_UNKNOWN.name -> ExitCode.OUTCOME_UNKNOWN
        code == FailureCode.UPSTREAM_FAILED.name && !notRun -> ExitCode.FAILED
        code == FailureCode.NOT_FOUND.name || notRun -> ExitCode.REFUSED
        else -> ExitCode.OUTCOME_UNKNOWN
    }
