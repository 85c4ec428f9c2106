package org.orioleferry.scheduler.simulation

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.Runnable
import kotlin.coroutines.CoroutineContext

/**
 * Runs the coroutines of one simulated process, which can be suspended like a process by SIGSTOP: time goes on, answers
 * arrive and timers expire meanwhile, but nothing of it is processed before [resume].
 */
@OptIn(InternalCoroutinesApi::class)
class PausableDispatcher(
    private val dispatcher: CoroutineDispatcher,
) : CoroutineDispatcher(),
    Delay by dispatcher as Delay {
    private val held = ArrayDeque<Pair<CoroutineContext, Runnable>>()
    private var isPaused = false

    override fun dispatch(
        context: CoroutineContext,
        block: Runnable,
    ) {
        if (isPaused) held += context to block else dispatcher.dispatch(context, block)
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
        while (held.isNotEmpty()) held.removeFirst().let { (context, block) -> dispatcher.dispatch(context, block) }
    }
}
