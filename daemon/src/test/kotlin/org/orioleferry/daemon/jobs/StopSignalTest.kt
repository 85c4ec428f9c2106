package org.orioleferry.daemon.jobs

import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import org.orioleferry.core.gang.StopCause
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class StopSignalTest {
    // Guards against a request that is lost because it is handed over while the wait times out: a cancelled job then
    // goes on running (bin/demo, seed 5).
    @Test
    fun `should keep a request that arrives as the wait times out`() =
        runTest {
            val signal = StopSignal()
            // The timer of the request is set before that of the wait, so the request arrives first.
            launch(start = CoroutineStart.UNDISPATCHED) {
                delay(WAIT_MS)
                signal.request(StopCause.Recovered)
            }
            val awaited = signal.await(WAIT_MS)
            expectThat(awaited ?: signal.take()).isEqualTo(StopCause.Recovered)
        }

    @Test
    fun `should hand out a request once`() =
        runTest {
            val signal = StopSignal()
            signal.request(StopCause.Recovered)
            expectThat(signal.await(WAIT_MS)).isEqualTo(StopCause.Recovered)
            expectThat(signal.await(WAIT_MS)).isNull()
            expectThat(signal.take()).isNull()
        }

    private companion object {
        const val WAIT_MS = 200L
    }
}
