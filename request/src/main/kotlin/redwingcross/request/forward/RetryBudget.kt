package redwingcross.request.forward

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Bounds of the repetitions of one service, summed over all gateways. */
data class RetryBudgetLimits(
    /** Repetitions allowed for each request in the window. */
    val ratio: Double,
    /** Repetitions allowed in each window whatever the number of requests. */
    val extra: Double,
    val window: Duration,
)

/**
 * The part of a retry budget that one gateway may use. Each gateway uses the ratio of its own requests and an equal
 * part of the extra, so the sum over all gateways keeps within the budget without messages.
 */
class RetryBudget(private val limits: () -> RetryBudgetLimits) {
    private val requests = ArrayDeque<Duration>()
    private val repetitions = ArrayDeque<Duration>()

    /** Counts a request of a caller. */
    fun recordRequest(now: Duration) {
        requests.addLast(now)
        expire(now)
    }

    /** Takes one repetition out of this gateway's part; false if nothing is left. [gateways] share the extra. */
    fun tryAcquire(now: Duration, gateways: Int): Boolean {
        expire(now)
        val current = limits()
        val share = current.extra / gateways.coerceAtLeast(1)
        val allowed = RESERVE * (current.ratio * requests.size + share)
        if (repetitions.size + 1 > allowed) return false
        repetitions.addLast(now)
        return true
    }

    private fun expire(now: Duration) {
        val start = now - limits().window
        while (requests.isNotEmpty() && requests.first() < start) requests.removeFirst()
        while (repetitions.isNotEmpty() && repetitions.first() < start) repetitions.removeFirst()
    }

    override fun toString(): String =
        "requests=${requests.size} repetitions=${repetitions.size} window=${limits().window.toDouble(
            DurationUnit.SECONDS,
        )}s"

    private companion object {
        /** Part of the budget in use; the rest covers gateways that restarted and forgot what they used. */
        const val RESERVE = 0.7
    }
}
