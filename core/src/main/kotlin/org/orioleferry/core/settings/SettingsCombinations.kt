package org.orioleferry.core.settings

// Allowance for rounding when a third of the TTL is no whole number.
private const val RENEWAL_MARGIN_MS = 50

/** Reports values that are valid each on its own and impossible together. Rules over a faulty value are skipped. */
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
        rule(
            listOf("listen.peerPort", "listen.httpPort"),
            listen.peerPort != listen.httpPort || listen.peerPort == 0,
            "a port other than httpPort",
            "${listen.peerPort} for both",
        )
    }

    fun checkOwnership(settings: DaemonSettings) {
        val ownership = settings.ownership
        val longestRenewMs = ownership.ttlMs / 3 + RENEWAL_MARGIN_MS
        rule(
            listOf("ownership.renewMs", "ownership.ttlMs"),
            ownership.renewMs < longestRenewMs,
            "less than $longestRenewMs, a third of ttlMs plus $RENEWAL_MARGIN_MS, so that one lost renewal is survived",
            ownership.renewMs,
        )
        rule(
            listOf("platform.deadlineMs", "ownership.renewMs", "ownership.ttlMs"),
            settings.platform.deadlineMs + ownership.renewMs < ownership.ttlMs,
            "less than ${ownership.ttlMs - ownership.renewMs}, ownership.ttlMs - renewMs, so that a renewal can time out",
            settings.platform.deadlineMs,
        )
    }

    fun checkLiveness(settings: DaemonSettings) {
        val membership = settings.membership
        rule(
            listOf("membership.suspectMs", "membership.deadMs"),
            membership.suspectMs < membership.deadMs,
            "less than deadMs (${membership.deadMs})",
            membership.suspectMs,
        )
        rule(
            listOf("membership.heartbeatMs", "membership.suspectMs"),
            membership.heartbeatMs * 2 <= membership.suspectMs,
            "at most half of suspectMs (${membership.suspectMs}), so that one lost heartbeat raises no suspicion",
            membership.heartbeatMs,
        )
    }

    fun checkDeadlines(settings: DaemonSettings) {
        val requests = settings.requests
        rule(
            listOf("drain.refuseAfterMs", "drain.limitMs"),
            settings.drain.refuseAfterMs < settings.drain.limitMs,
            "less than limitMs (${settings.drain.limitMs})",
            settings.drain.refuseAfterMs,
        )
        rule(
            listOf("requests.defaultDeadlineMs", "drain.limitMs", "drain.refuseAfterMs"),
            requests.defaultDeadlineMs <= settings.longestDeadlineMs,
            "at most ${settings.longestDeadlineMs}, drain.limitMs - refuseAfterMs, so that a shutdown cuts no request",
            requests.defaultDeadlineMs,
        )
        rule(
            listOf("requests.recordMs", "requests.defaultDeadlineMs"),
            requests.recordMs < requests.defaultDeadlineMs,
            "less than defaultDeadlineMs (${requests.defaultDeadlineMs})",
            requests.recordMs,
        )
        rule(
            listOf("jobs.taskLeaseTtlMs", "platform.deadlineMs"),
            settings.jobs.taskLeaseTtlMs >= settings.platform.deadlineMs * 3,
            "at least ${settings.platform.deadlineMs * 3}, three times platform.deadlineMs",
            settings.jobs.taskLeaseTtlMs,
        )
        rule(
            listOf("peers.progressMs", "membership.heartbeatMs"),
            settings.peers.progressMs > settings.membership.heartbeatMs,
            "more than membership.heartbeatMs (${settings.membership.heartbeatMs}), or idle links are closed",
            settings.peers.progressMs,
        )
    }

    private fun rule(
        keys: List<String>,
        holds: Boolean,
        expected: String,
        found: Any,
    ) {
        if (holds || keys.any { problems.isFaulty(it) }) return
        problems.add(problems.lineOf(keys), keys.first(), expected, found.toString())
    }
}
