package org.orioleferry.standins

import org.orioleferry.core.Clock
import org.orioleferry.platform.FaultBody
import kotlin.random.Random

/** Names of the faults on the wire. */
public object FaultName {
    public const val NONE: String = "none"
    public const val DOWN: String = "down"
    public const val SLOW: String = "slow"
    public const val LOSE_ANSWERS: String = "lose-answers"
    public const val FREEZE: String = "freeze"
    public const val LIST_LAG: String = "list-lag"
    public const val FAIL_ALL: String = "fail-all"
    public const val REFUSE: String = "refuse"
    public const val LEAVE: String = "leave"
    public const val IGNORE_CHECKPOINT: String = "ignore-checkpoint"
    public const val SILENT_CONNECTIONS: String = "silent-connections"
    public const val CROSSED_ANSWERS: String = "crossed-answers"
    public const val TRUNCATE: String = "truncate"

    internal val ofPlatform = setOf(NONE, DOWN, SLOW, LOSE_ANSWERS, FREEZE, LIST_LAG)
    internal val ofWorker =
        setOf(
            NONE,
            FAIL_ALL,
            FREEZE,
            SLOW,
            REFUSE,
            LEAVE,
            IGNORE_CHECKPOINT,
            SILENT_CONNECTIONS,
            LOSE_ANSWERS,
            CROSSED_ANSWERS,
            TRUNCATE,
        )
}

/** Faults that are switched on, each until its duration is over or `none` clears all. Safe for concurrent use. */
internal class FaultSwitches(
    private val clock: Clock,
    seed: Long,
) {
    private class Active(
        val body: FaultBody,
        val endsMs: Long,
    )

    private val random = Random(seed)
    private val active = mutableMapOf<String, Active>()

    /** Switches a fault on, in addition to the others, or switches all faults off for `none`. */
    fun set(body: FaultBody) {
        synchronized(active) {
            if (body.fault == FaultName.NONE) {
                active.clear()
            } else {
                val endsMs = body.durationMs?.let { clock.monotonicMs() + it } ?: Long.MAX_VALUE
                active[body.fault] = Active(body, endsMs)
            }
        }
    }

    /** Returns [fault] if it is on and a random draw by its share applies it to this call, or null otherwise. */
    fun draw(fault: String): FaultBody? =
        synchronized(active) {
            val body = current(fault) ?: return null
            body.takeIf { it.share >= 1.0 || random.nextDouble() < it.share }
        }

    fun isOn(fault: String): Boolean = synchronized(active) { current(fault) != null }

    private fun current(fault: String): FaultBody? {
        val entry = active[fault] ?: return null
        if (clock.monotonicMs() < entry.endsMs) return entry.body
        active.remove(fault)
        return null
    }
}

internal fun FaultSwitches.toBehaviour(): WorkerBehaviour =
    WorkerBehaviour(
        failsAll = draw(FaultName.FAIL_ALL) != null,
        refusesWork = draw(FaultName.REFUSE) != null,
        isLeaving = isOn(FaultName.LEAVE),
        ignoresCheckpoints = draw(FaultName.IGNORE_CHECKPOINT) != null,
    )
