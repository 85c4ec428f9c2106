package org.orioleferry.core.settings

// Tolerance for rounding when the TTL is not divisible by 3.
private const val RENEWAL_MARGIN_MS = 50

/** Reports combinations of valid values that cannot work together. Rules that use a faulty value are skipped. */
internal fun checkCombinations(
    settings: DaemonSettings,
    problems: ProblemCollector,
) {
    Combinations(problems).apply {
        checkAddresses(settings)
        checkOwnership(settings)
        checkLiveness(settings)
        checkDeadlines(settings)
    }
}

private class Combinations(
    private val problems: ProblemCollector,
) {
    fun checkAddresses(settings: DaemonSettings) {
        val listen = settings.listen
        checkRule(
            listOf("listen.peerPort", "listen.httpPort"),
            listen.peerPort != listen.httpPort || listen.peerPort == 0,
            "a port other than httpPort",
            "${listen.peerPort} for both",
        )
    }

    fun checkOwnership(settings: DaemonSettings) {
        val ownership = settings.ownership
        val longestRenewMs = ownership.ttlMs / 3 + RENEWAL_MARGIN_MS
        checkRule(
            listOf("ownership.renewMs", "ownership.ttlMs"),
            ownership.renewMs < longestRenewMs,
            "less than $longestRenewMs, a third of ttlMs plus $RENEWAL_MARGIN_MS, so that one lost renewal is survived",
            ownership.renewMs,
        )
        checkRule(
            listOf("platform.deadlineMs", "ownership.renewMs", "ownership.ttlMs"),
            settings.platform.deadlineMs + ownership.renewMs < ownership.ttlMs,
            "less than ${ownership.ttlMs - ownership.renewMs}, ownership.ttlMs - renewMs, so that a renewal can time out",
            settings.platform.deadlineMs,
        )
    }

    fun checkLiveness(settings: DaemonSettings) {
        val membership = settings.membership
        checkRule(
            listOf("membership.suspectMs", "membership.deadMs"),
            membership.suspectMs < membership.deadMs,
            "less than deadMs (${membership.deadMs})",
            membership.suspectMs,
        )
        checkRule(
            listOf("membership.heartbeatMs", "membership.suspectMs"),
            membership.heartbeatMs * 2 <= membership.suspectMs,
            "at most half of suspectMs (${membership.suspectMs}), so that one lost heartbeat raises no suspicion",
            membership.heartbeatMs,
        )
    }

    fun checkDeadlines(settings: DaemonSettings) {
        val requests = settings.requests
        checkRule(
            listOf("drain.refuseAfterMs", "drain.limitMs"),
            settings.drain.refuseAfterMs < settings.drain.limitMs,
            "less than limitMs (${settings.drain.limitMs})",
            settings.drain.refuseAfterMs,
        )
        checkRule(
            listOf("requests.defaultDeadlineMs", "drain.limitMs", "drain.refuseAfterMs"),
            requests.defaultDeadlineMs <= settings.longestDeadlineMs,
            "at most ${settings.longestDeadlineMs}, drain.limitMs - refuseAfterMs, so that a shutdown cuts no request",
            requests.defaultDeadlineMs,
        )
        checkRule(
            listOf("requests.recordMs", "requests.defaultDeadlineMs"),
            requests.recordMs < requests.defaultDeadlineMs,
            "less than defaultDeadlineMs (${requests.defaultDeadlineMs})",
            requests.recordMs,
        )
        checkRule(
            listOf("jobs.taskLeaseTtlMs", "platform.deadlineMs"),
            settings.jobs.taskLeaseTtlMs >= settings.platform.deadlineMs * 3,
            "at least ${settings.platform.deadlineMs * 3}, three times platform.deadlineMs",
            settings.jobs.taskLeaseTtlMs,
        )
        checkRule(
            listOf("peers.progressMs", "membership.heartbeatMs"),
            settings.peers.progressMs > settings.membership.heartbeatMs,
            "more than membership.heartbeatMs (${settings.membership.heartbeatMs}), or idle links are closed",
            settings.peers.progressMs,
        )
    }

    private fun checkRule(
        keys: List<String>,
        isSatisfied: Boolean,
        expected: String,
        found: Any,
    ) {
        if (isSatisfied || keys.any { problems.hasProblem(it) }) return
        problems.add(problems.lineOf(keys), keys.first(), expected, found.toString())
    }
}
