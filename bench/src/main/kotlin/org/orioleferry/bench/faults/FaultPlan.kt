package org.orioleferry.bench.faults

import kotlinx.coroutines.delay
import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.FaultSwitch
import kotlin.random.Random

/** A fault with its name for the report. [cause] returns when the fault is over. */
internal class Fault(
    val name: String,
    val cause: suspend (Deployment, Random) -> Unit,
)

/** The faults that a run draws from. Every one ends by itself, so that the load can settle afterwards. */
internal object FaultPlan {
    private const val PAUSE_PAST_LEASE_MS = 4_000L
    private const val OUTAGE_MS = 6_000L
    private const val REPLACEMENT_MS = 2_000L
    private const val WORKER_FAULT_MS = 4_000L
    private const val SLOW_MS = 400L

    val all: List<Fault> =
        listOf(
            Fault("daemon killed") { deployment, random ->
                val victim = deployment.daemons.random(random).id
                deployment.kill(victim)
                delay(REPLACEMENT_MS)
                deployment.forget(victim)
                deployment.replace(victim)
            },
            Fault("daemon paused past its lease") { deployment, random ->
                val process = deployment.daemons.random(random).process
                process.pause()
                delay(PAUSE_PAST_LEASE_MS)
                process.resume()
            },
            Fault("daemon stopped gracefully and replaced") { deployment, random ->
                val victim = deployment.daemons.random(random).id
                deployment.terminate(victim)
                deployment.replace(victim)
            },
            store("down", OUTAGE_MS),
            store("lose-answers", OUTAGE_MS),
            store("slow", OUTAGE_MS, SLOW_MS),
            worker("freeze"),
            worker("silent-connections"),
            worker("lose-answers"),
            worker("crossed-answers"),
            worker("truncate"),
            worker("leave"),
            worker("refuse"),
        )

    private fun store(
        fault: String,
        durationMs: Long,
        delayMs: Long = 0,
    ) = Fault("store $fault") { deployment, _ ->
        deployment.switchFault(FaultSwitch(fault, delayMs = delayMs, share = STORE_FAULT_SHARE.getValue(fault)))
        delay(durationMs)
        deployment.switchFault(FaultSwitch("none"))
    }

    private fun worker(fault: String) =
        Fault("worker $fault") { deployment, random ->
            val worker = deployment.workers().random(random)
            deployment.switchFault(FaultSwitch(fault), worker)
            delay(WORKER_FAULT_MS)
            deployment.switchFault(FaultSwitch("none"), worker)
        }

    // With every answer lost nothing could be accepted; a fifth leaves enough work in every state.
    private val STORE_FAULT_SHARE = mapOf("down" to 1.0, "lose-answers" to 0.2, "slow" to 1.0)
}
