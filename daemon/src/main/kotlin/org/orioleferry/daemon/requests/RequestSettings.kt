package org.orioleferry.daemon.requests

import org.orioleferry.core.model.InstanceId

/**
 * Settings of the request path. Times are in milliseconds.
 *
 * @property instance name of this instance, which is written into every intent row.
 * @property maxBodyBytes greatest size of a payload in UTF-8 bytes.
 * @property maxQueued requests that wait in the queue of one class before new ones are refused.
 * @property defaultDeadlineMs deadline of a request when neither the caller nor the class states one.
 * @property storeDeadlineMs time after which a store call counts as unanswered.
 * @property finishWriteMs time that the final write of a row may delay the caller's answer.
 * @property repeatWaitMs time that a repeated request waits for the first one to leave the state `intent`.
 * @property orphanAfterMs time for which a row of another instance stays unchanged before it counts as orphaned.
 * @property scanPeriodMs time between two pages of the scan for orphaned rows.
 * @property slotsPerWorker requests that a worker runs at once.
 * @property drainRefuseAfterMs time for which new requests are still served after the start of a drain.
 * @property drainLimitMs greatest duration of a drain.
 */
public data class RequestSettings(
    val instance: InstanceId,
    val maxBodyBytes: Int = 65_536,
    val maxQueued: Int = 2_000,
    val defaultDeadlineMs: Long = 5_000,
    val storeDeadlineMs: Long = 800,
    val finishWriteMs: Long = 500,
    val repeatWaitMs: Long = 1_000,
    val orphanAfterMs: Long = 6_000,
    val scanPeriodMs: Long = 1_000,
    val slotsPerWorker: Int = 8,
    val drainRefuseAfterMs: Long = 1_000,
    val drainLimitMs: Long = 30_000,
)
