package org.orioleferry.cli

/** Exit codes of the tool, documented in its help. */
internal enum class ExitCode(
    val code: Int,
    val meaning: String,
) {
    OK(0, "success"),
    REFUSED(1, "refused; the work did not run"),
    USAGE(2, "wrong usage, settings or release note"),
    NO_DAEMON(3, "no daemon answers; nothing was sent"),
    OUTCOME_UNKNOWN(4, "outcome unknown; ask again with the id printed"),
    FAILED(5, "the work ran, or may have run, and failed"),
    TIMED_OUT(6, "the wait ended before the expected state was reached"),
    INVALID_ANSWER(7, "the daemon's answer is not understood"),
}
