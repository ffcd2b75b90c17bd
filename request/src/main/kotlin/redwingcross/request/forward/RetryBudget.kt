package redwingcross.request.forward

import redwingcross.request.ServiceName
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Limits for the retries of one service, summed over all gateways. */
data class RetryBudgetLimits(
    /** Retries allowed per request in the window. */
    val ratio: Double,
    /** Retries allowed per window regardless of the number of requests. */
    val extra: Double,
    val window: Duration,
)

/**
 * One gateway's share of a service's retry budget.
 *
 * Each gateway gets [RetryBudgetLimits.ratio] of its own requests and an equal share of [RetryBudgetLimits.extra], so
 * the sum over all gateways stays within the budget without any communication between them.
 */
class RetryBudget(private val limits: () -> RetryBudgetLimits) {
    private val requests = ArrayDeque<Duration>()
    private val retries = ArrayDeque<Duration>()

    /** Counts a request of a caller, which adds [RetryBudgetLimits.ratio] to the share. */
    fun recordRequest(now: Duration) {
        requests.addLast(now)
        expire(now)
    }

    /**
     * Takes one retry out of this gateway's share; false if none is left. [gateways] is the number of gateways that
     * divide [RetryBudgetLimits.extra].
     */
    fun tryAcquire(now: Duration, gateways: Int): Boolean {
        if (!canAcquire(now, gateways)) return false
        retries.addLast(now)
        return true
    }

    /** Whether [tryAcquire] would return true; takes nothing. */
    fun canAcquire(now: Duration, gateways: Int): Boolean {
        expire(now)
        val current = limits()
        val share = current.extra / gateways.coerceAtLeast(1)
        val allowed = USABLE_FRACTION * (current.ratio * requests.size + share)
        return retries.size + 1 <= allowed
    }

    private fun expire(now: Duration) {
        val start = now - limits().window
        while (requests.isNotEmpty() && requests.first() < start) requests.removeFirst()
        while (retries.isNotEmpty() && retries.first() < start) retries.removeFirst()
    }

    override fun toString(): String =
        "requests=${requests.size} repetitions=${retries.size} window=${limits().window.toDouble(
            DurationUnit.SECONDS,
        )}s"

    private companion object {
        /**
         * Fraction of the budget in use. The rest covers gateways that restart and so lose the count of used retries.
         */
        const val USABLE_FRACTION = 0.7
    }
}

/** One gateway's shares of the retry budgets of all services. */
class RetryBudgets(private val limits: () -> RetryBudgetLimits) {
    private val byService = HashMap<ServiceName, RetryBudget>()

    operator fun get(service: ServiceName): RetryBudget = byService.getOrPut(service) { RetryBudget(limits) }
}
