package org.orioleferry.scheduler.placement

/**
 * A run that was on a worker when that crashed.
 *
 * @property group what the run shares with the other members of its gang, so that a gang counts as one.
 * @property provenMs time for which the run is known to have worked before the crash, ms.
 */
internal data class CrashedRun<K>(
    val key: K,
    val group: Any,
    val provenMs: Long,
)

/** What the crashes of workers under a task say about the task. */
internal enum class Suspicion {
    /** The task may be started like any other. */
    NONE,

    /** The task may crash its worker: its next run is a trial, during which nothing else starts beside it. */
    SUSPECT,

    /** The task crashes the workers that start it. */
    CULPRIT,
}

/**
 * Time of work after which a run has passed its trial, ms. A task that crashes the workers that start it does so early;
 * one that works for this long and is there at a later crash is more likely to have been hit by it.
 */
internal const val TRIAL_MS = 2_000L

/** Crashes under one task after which it is given up even if another run may have caused each of them. */
internal const val MAX_CRASHES = 5

private const val CRASHES_WITH_CERTAIN_ONE = 3
private const val MAX_CERTAIN_CRASHES = 2

/**
 * Returns the keys of the runs that have certainly caused the crash of their worker if one of [crashed] has: the runs
 * that had not passed their trial, if they are all of one task or one gang. None if there are several candidates, or if
 * the crash may have another cause because the worker had begun [workerAgeMs] ago and may be unstable itself.
 */
internal fun <K> certainCauses(
    crashed: List<CrashedRun<K>>,
    workerAgeMs: Long,
): Set<K> {
    val candidates = crashed.filter { it.provenMs < TRIAL_MS }
    val isCertain = workerAgeMs >= STABLE_WORKER_MS && candidates.distinctBy { it.group }.size == 1
    return if (isCertain) candidates.mapTo(HashSet()) { it.key } else emptySet()
}

/**
 * Returns what [crashes] of workers under a task, [certain] of them with no other candidate, say about it. One crash may
 * be a coincidence with a worker's own failure, so a task is given up after two certain ones, three with one certain
 * one, or [MAX_CRASHES] of any kind. The [unconfirmed] ones, which may have come before the start arrived or after the
 * run had ended, count among the last only. [provenMs] is the time that its last run had worked, or null if not known: a run
 * that has passed its trial makes the task a suspect only by a second crash.
 */
internal fun suspicionOf(
    crashes: Int,
    certain: Int,
    provenMs: Long? = null,
    unconfirmed: Int = 0,
): Suspicion =
    when {
        certain >= MAX_CERTAIN_CRASHES -> Suspicion.CULPRIT
        crashes - unconfirmed >= CRASHES_WITH_CERTAIN_ONE && certain > 0 -> Suspicion.CULPRIT
        crashes >= MAX_CRASHES -> Suspicion.CULPRIT
        crashes == 0 -> Suspicion.NONE
        crashes == 1 && provenMs != null && provenMs >= TRIAL_MS -> Suspicion.NONE
        else -> Suspicion.SUSPECT
    }

/** How a demand for the trial of a suspect is placed, by the time that it has waited. */
internal enum class TrialPlacement {
    /** Not a trial, or one that has waited so long that it is placed like other work. */
    NONE,

    /** On a worker that is not new and has no runs, so that a crash costs no other work and has no other cause. */
    EMPTY_WORKER,

    /** On the worker with the fewest runs that have not worked for [TRIAL_MS], then with the fewest runs. */
    FEWEST_RUNS,
}

/** Returns how the trial of a suspect that has waited for [waitedMs] is placed; [hasTaskLimit] as in [Demand]. */
internal fun trialPlacementOf(
    waitedMs: Long,
    hasTaskLimit: Boolean,
): TrialPlacement =
    when {
        waitedMs < EMPTY_WORKER_WAIT_MS -> TrialPlacement.EMPTY_WORKER
        // The other tasks of the step are a demand of their own, so only an empty worker is certain to be below the limit.
        hasTaskLimit && waitedMs < MAX_LIMITED_WAIT_MS -> TrialPlacement.EMPTY_WORKER
        !hasTaskLimit && waitedMs < MAX_TRIAL_WAIT_MS -> TrialPlacement.FEWEST_RUNS
        else -> TrialPlacement.NONE
    }

// Work that waits for 3 s next to free resources counts as a fault, and a suspect has already waited for its worker.
private const val EMPTY_WORKER_WAIT_MS = 800L
private const val MAX_LIMITED_WAIT_MS = 2_000L

// A trial takes any worker with room until then; other placement adds the right to stop runs, but starts others beside it.
private const val MAX_TRIAL_WAIT_MS = 6_000L

/** Age of a worker below which its crash may be one of a series, ms. */
internal const val STABLE_WORKER_MS = 10_000L
