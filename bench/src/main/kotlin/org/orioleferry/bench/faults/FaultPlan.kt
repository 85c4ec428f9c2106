package org.orioleferry.bench.faults

import kotlinx.coroutines.delay
import org.orioleferry.bench.process.Deployment
import org.orioleferry.bench.process.FaultSwitch
import kotlin.random.Random

/**
 * A fault of a fault run. [name] appears in the report of the run; [inject] causes the fault and returns when it has
 * been lifted or the replacement of the stopped process is registered.
 */
internal class Fault(
    val name: String,
    val inject: suspend (Deployment, Random) -> Unit,
)

/** The faults that a run injects. Each one ends by itself, so that the system can recover afterwards. */
internal object FaultPlan {
    private const val PAUSE_PAST_LEASE_MS = 4_000L
    private const val STORE_FAULT_MS = 6_000L
    private const val REPLACEMENT_MS = 2_000L
    private const val WORKER_FAULT_MS = 4_000L
    private const val SLOW_MS = 400L

    val all: List<Fault> =
        listOf(
            Fault("daemon killed") { deployment, random ->
                val daemonId = deployment.daemons.random(random).id
                deployment.kill(daemonId)
                delay(REPLACEMENT_MS)
                deployment.unregister(daemonId)
                deployment.replace(daemonId)
            },
            Fault("daemon paused past its lease") { deployment, random ->
                val process = deployment.daemons.random(random).process
                process.pause()
                delay(PAUSE_PAST_LEASE_MS)
                process.resume()
            },
            Fault("daemon stopped gracefully and replaced") { deployment, random ->
                val daemonId = deployment.daemons.random(random).id
                // Also removes the daemon from the platform's list.
                deployment.terminate(daemonId)
                deployment.replace(daemonId)
            },
            storeFault("down", STORE_FAULT_MS),
            storeFault("lose-answers", STORE_FAULT_MS),
            storeFault("slow", STORE_FAULT_MS, SLOW_MS),
            workerFault("freeze"),
            workerFault("silent-connections"),
            workerFault("lose-answers"),
            workerFault("crossed-answers"),
            workerFault("truncate"),
            workerFault("leave"),
            workerFault("refuse"),
        )

    private fun storeFault(
        fault: String,
        durationMs: Long,
        delayMs: Long = 0,
    ) = Fault("store $fault") { deployment, _ ->
        deployment.setFault(FaultSwitch(fault, delayMs = delayMs, share = STORE_FAULT_SHARE.getValue(fault)))
        delay(durationMs)
        deployment.setFault(FaultSwitch("none"))
    }

    private fun workerFault(fault: String) =
        Fault("worker $fault") { deployment, random ->
            val worker = deployment.workers().random(random)
            deployment.setFault(FaultSwitch(fault), worker)
            delay(WORKER_FAULT_MS)
            deployment.setFault(FaultSwitch("none"), worker)
        }

    // Share of calls affected. With all answers lost no work would be accepted; 0.2 leaves enough work in every state.
    private val STORE_FAULT_SHARE = mapOf("down" to 1.0, "lose-answers" to 0.2, "slow" to 1.0)
}
