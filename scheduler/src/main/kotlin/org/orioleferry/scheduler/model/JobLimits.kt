package org.orioleferry.scheduler.model

/**
 * Bounds on a single job. They keep its progress within one row of the store, its tasks within the owner's memory and
 * all sums over its tasks within their types.
 *
 * @param maxRowBytes largest value of a row that the store accepts.
 */
public class JobLimits(
    private val maxRowBytes: Int,
) {
    /**
     * Returns which bound [spec] exceeds, or null if it is within all of them. Takes time linear in the size of the
     * job, however large its numbers are.
     */
    public fun violationOf(spec: JobSpec): String? {
        if (spec.steps.size !in 1..MAX_STEPS) return "a job has 1 to $MAX_STEPS steps, not ${spec.steps.size}"
        spec.steps.forEachIndexed { index, step ->
            violationOf(step, index)?.let { return "step $index: $it" }
        }
        spec.schedule?.let { schedule -> violationOf(schedule)?.let { return it } }
        val widestGang = spec.steps.filter { it.isGang }.maxOfOrNull { it.count } ?: 1
        return if (begunTasksOf(spec) < widestGang) {
            "the progress of ${spec.steps.sumOf { it.count.toLong() }} tasks in ${spec.occurrences} occurrences " +
                "does not fit into a row of $maxRowBytes bytes"
        } else {
            null
        }
    }

    /** Returns how many occurrences of [spec] may be open at a time. */
    public fun openOccurrencesOf(spec: JobSpec): Int =
        (maxRowBytes / OPEN_OCCURRENCES_DIVISOR / doneTasksBytesOf(spec)).coerceIn(1, spec.occurrences.toLong()).toInt()

    /**
     * Returns how many tasks of [spec] may be begun and not done at a time, so that their progress fits into the row.
     * More than the job has for all but very wide jobs.
     */
    public fun begunTasksOf(spec: JobSpec): Int {
        val fixedBytes =
            HEAD_BYTES + MAX_TRACKED_TASKS * TRACKED_TASK_BYTES +
                spec.occurrences.toLong() * FINISHED_OCCURRENCE_BYTES +
                openOccurrencesOf(spec) * doneTasksBytesOf(spec)
        val checkpointBytes = if (spec.steps.any { it.savesProgress }) CHECKPOINT_BYTES else 0
        val taskBytes = START_BYTES + FAILURES_BYTES + checkpointBytes
        return ((maxRowBytes - fixedBytes) / taskBytes).coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
    }

    /** Returns an upper bound of the encoded size of an occurrence whose tasks are done or have not begun, in bytes. */
    private fun doneTasksBytesOf(spec: JobSpec): Long = spec.steps.sumOf { STEP_BYTES + it.count * DONE_TASK_BYTES }

    private fun violationOf(
        step: StepSpec,
        index: Int,
    ): String? {
        val need = step.need
        val amounts = listOf(need.cpuMillis, need.memoryMb, need.accelerators)
        val otherNumbers = listOf(step.maxPerWorker, step.latencyTargetMs, step.maxUnavailable)
        return when {
            step.count < 1 -> "the number of tasks is ${step.count}"
            step.after.any { it !in 0 until index } -> "it follows a step that is not an earlier one"
            step.after.size > index -> "it follows a step twice"
            (amounts + otherNumbers).any { it < 0 } -> "a number is negative"
            amounts.any { it.toLong() * step.count > Int.MAX_VALUE } -> "its tasks need more than any installation has"
            need.accelerators.toLong() * step.count > MAX_ACCELERATORS -> "its tasks need too many accelerators"
            step.estimateMs !in 0..MAX_ESTIMATE_MS -> "the estimate is ${step.estimateMs} ms"
            else -> null
        }
    }

    private fun violationOf(schedule: JobSchedule): String? =
        when {
            schedule.occurrences < 1 -> "the number of occurrences is ${schedule.occurrences}"
            schedule.firstDueMs !in 0..MAX_TIME_MS -> "the first due time is ${schedule.firstDueMs}"
            schedule.periodMs !in 0..MAX_ESTIMATE_MS -> "the period is ${schedule.periodMs} ms"
            else -> null
        }

    public companion object {
        /** Most tasks of a job for which crashes of their workers, and the incarnation of their worker, are stored. */
        public const val MAX_TRACKED_TASKS: Int = 40

        private const val MAX_STEPS = 256

        // The accelerators of all open jobs are added up in an Int.
        private const val MAX_ACCELERATORS = 100_000
        private const val MAX_ESTIMATE_MS = 30L * 24 * 3_600 * 1_000

        // Start of the year 2200; times beyond it are mistakes of the unit.
        private const val MAX_TIME_MS = 7_258_118_400_000

        // Occurrences that are open beside each other may take half of the row with their done tasks.
        private const val OPEN_OCCURRENCES_DIVISOR = 2L

        // Largest encoded sizes in a progress row, for ids of workers of up to 24 characters, attempts of up to 3 digits
        // and checkpoints of up to 32 characters.
        private const val HEAD_BYTES = 256L
        private const val STEP_BYTES = 128L
        private const val DONE_TASK_BYTES = 6L
        private const val START_BYTES = 63L
        private const val FAILURES_BYTES = 16L
        private const val CHECKPOINT_BYTES = 44L
        private const val TRACKED_TASK_BYTES = 60L
        private const val FINISHED_OCCURRENCE_BYTES = 48L
    }
}
