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

/** Base of the commands that print a table or JSON. */
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

    /** Overwrites one line of the terminal with [text]; prints nothing when the output is not a terminal. */
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

/** Base of the commands that call daemons. */
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

    /**
     * Sends [call] and returns the answer. Prints a failure, with [recoveryHint] when the outcome is unknown, and exits
     * with its exit code.
     */
    suspend fun DaemonClient.call(
        call: ApiCall,
        recoveryHint: String? = null,
    ): JsonElement =
        when (val reply = send(call)) {
            is Reply.Answered -> reply.body
            is Reply.Refused -> reportRefusal(reply, call, recoveryHint)
            is Reply.Unanswered -> reportUnanswered(reply.attempts, call, recoveryHint)
            is Reply.Invalid -> reportInvalid(reply, call, recoveryHint)
        }

    fun <T> JsonElement.decode(serializer: KSerializer<T>): T =
        try {
            toolJson.decodeFromJsonElement(serializer, this)
        } catch (e: SerializationException) {
            echo("The daemon's answer is not understood: ${e.message?.lineSequence()?.first()}", err = true)
            exit(ExitCode.INVALID_ANSWER)
        }

    /** Reads [path] and prints the answer as JSON or as a table of [headings] and the rows of [toRows]. */
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
        recoveryHint: String?,
    ): Nothing {
        printError(reply.error)
        // "Not run" applies to the refused attempt, not to an earlier one whose answer was lost.
        val unanswered = reply.earlier.filter { call.hasEffect && it.mayHaveBeenReceived }
        unanswered.forEach { echo("${it.daemon} may have received the call before: ${it.reason}", err = true) }
        val code = if (unanswered.isEmpty()) reply.error.toExitCode(call.hasEffect) else ExitCode.OUTCOME_UNKNOWN
        if (code == ExitCode.OUTCOME_UNKNOWN) recoveryHint?.let { echo(it, err = true) }
        exit(code)
    }

    private fun reportUnanswered(
        attempts: List<Attempt>,
        call: ApiCall,
        recoveryHint: String?,
    ): Nothing {
        echo("No daemon answered:", err = true)
        attempts.forEach { echo("  ${it.daemon}: ${it.reason}", err = true) }
        val isUnknown = call.hasEffect && attempts.any { it.mayHaveBeenReceived }
        if (!isUnknown) exit(ExitCode.NO_DAEMON)
        echo("The call may have been received: its outcome is unknown.", err = true)
        recoveryHint?.let { echo(it, err = true) }
        exit(ExitCode.OUTCOME_UNKNOWN)
    }

    private fun reportInvalid(
        reply: Reply.Invalid,
        call: ApiCall,
        recoveryHint: String?,
    ): Nothing {
        echo("${reply.daemon} answered ${reply.reason}.", err = true)
        if (call.hasEffect) recoveryHint?.let { echo(it, err = true) }
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
 * Exit code of a typed failure. A read is always [ExitCode.REFUSED], since it has no effect whose outcome could be
 * unknown. A call with an effect is [ExitCode.REFUSED] only when the failure states "not run" or is `NOT_FOUND`.
 */
internal fun ErrorDetail.toExitCode(hasEffect: Boolean): ExitCode =
    when {
        !hasEffect -> ExitCode.REFUSED
        code == FailureCode.OUTCOME_UNKNOWN.name -> ExitCode.OUTCOME_UNKNOWN
        code == FailureCode.UPSTREAM_FAILED.name && !notRun -> ExitCode.FAILED
        code == FailureCode.NOT_FOUND.name || notRun -> ExitCode.REFUSED
        else -> ExitCode.OUTCOME_UNKNOWN
    }
