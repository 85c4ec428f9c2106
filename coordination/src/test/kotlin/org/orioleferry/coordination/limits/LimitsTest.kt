package org.orioleferry.coordination.limits

import org.junit.jupiter.api.Test
import org.orioleferry.core.ManualClock
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

class LimitsTest {
    private val clock = ManualClock(wall = 0, monotonic = 1_000_000)

    // Guards against retries that multiply the load of an upstream that fails everything.
    @Test
    fun `retries should stay within a tenth of the successes plus one a second`() {
        val budget = RetryBudget(clock)
        var retries = 0
        repeat(1_000) {
            budget.onSuccess()
            if (budget.tryAcquire()) retries++
            clock.advance(10)
        }
        expectThat(retries).isLessThanOrEqualTo(1 + 100 + 10)
        expectThat(retries).isGreaterThan(100)
    }

    // Guards against a burst of retries that were saved up during an hour without failures.
    @Test
    fun `saved retries should be bounded`() {
        val budget = RetryBudget(clock)
        repeat(10_000) { budget.onSuccess() }
        clock.advance(3_600_000)
        expectThat((1..100).count { budget.tryAcquire() }).isEqualTo(10)
    }

    // Guards against an upstream that gets no calls after an overload, and against more calls than it has slots.
    @Test
    fun `the limit should stay between one and the slots`() {
        val limiter = ConcurrencyLimiter(clock, 8)
        expectThat((1..20).count { limiter.tryAcquire() }).isEqualTo(8)
        repeat(8) {
            clock.advance(200)
            limiter.release(LimitSignal.OVERLOAD)
        }
        expectThat(limiter.limit).isEqualTo(1)
        repeat(20) {
            while (limiter.tryAcquire()) Unit
            repeat(limiter.inFlight) { limiter.release(LimitSignal.SUCCESS) }
        }
        expectThat(limiter.limit).isEqualTo(8)
    }

    // Guards against one burst of refusals that lowers the limit to its minimum.
    @Test
    fun `refusals that arrive together should count once`() {
        val limiter = ConcurrencyLimiter(clock, 8)
        repeat(8) { limiter.tryAcquire() }
        repeat(8) { limiter.release(LimitSignal.OVERLOAD) }
        expectThat(limiter.limit).isEqualTo(5)
    }

    // Guards against a failing upstream that is tried by every request, and against one that is never tried again.
    @Test
    fun `a failing upstream should be tried at growing intervals`() {
        val backoff = FailureBackoff(clock, Random(1))
        var trials = 0
        repeat(60_000) {
            if (backoff.canTry()) {
                trials++
                backoff.onCallStarted()
                backoff.onFailure(clock.monotonicMs())
            }
            clock.advance(1)
        }
        expectThat(trials).isGreaterThan(8)
        expectThat(trials).isLessThanOrEqualTo(25)
        clock.advance(10_000)
        backoff.onCallStarted()
        expectThat(backoff.canTry()).isFalse()
        backoff.onSuccess()
        expectThat(backoff.canTry()).isTrue()
    }

    // Guards against a caller with short deadlines whose failures stop the calls to a healthy worker.
    @Test
    fun `a failure of a call during which the upstream answered others should not count`() {
        val backoff = FailureBackoff(clock, Random(1))
        val startedMs = clock.monotonicMs()
        clock.advance(10)
        backoff.onSuccess()
        expectThat(backoff.onFailure(startedMs)).isFalse()
        expectThat(backoff.canTry()).isTrue()
    }
}
