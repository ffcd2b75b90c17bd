package redwingcross.request.forward

import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against gateways that together retry more than the budget of the service allows, and against a budget that
 * stays used up.
 */
class RetryBudgetTest {
    private val limits = RetryBudgetLimits(ratio = 0.2, extra = 107.0, window = 10.seconds)

    @Test
    fun `gateways that all use their whole share stay within the budget together`() {
        val gateways = 8
        val budgets = List(gateways) { RetryBudget { limits } }
        val retries = mutableListOf<Duration>()
        var requests = 0
        for (step in 0 until 300) {
            val now = 100.milliseconds * step
            for (budget in budgets) {
                if (step % 2 == 0) {
                    budget.recordRequest(now)
                    requests++
                }
                while (budget.tryAcquire(now, gateways)) retries += now
            }
        }
        val perWindow = 8 * 50
        for (start in 0 until 200) {
            val from = 100.milliseconds * start
            val inWindow = retries.count { it >= from && it < from + limits.window }
            assertTrue(inWindow <= limits.ratio * perWindow + limits.extra, "window at $from: $inWindow")
        }
    }

    @Test
    fun `a used-up budget allows retries again after the window`() {
        val budget = RetryBudget { limits }
        while (budget.tryAcquire(Duration.ZERO, gateways = 8)) Unit
        assertFalse(budget.tryAcquire(5.seconds, gateways = 8))
        assertTrue(budget.tryAcquire(10.seconds + 1.milliseconds, gateways = 8))
    }
}
