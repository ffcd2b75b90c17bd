package redwingcross.process.usage

import redwingcross.request.Customer
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertSame
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against counts that are sent without need or never arrive, and against counts that can't be true. */
class UsageCounterTest {
    private val length = WindowLength(5.seconds)
    private val offset = ClockOffset(1_800_000_000_000)
    private val window = UsageWindow(360_000_000)
    private val ana = Customer("ana")
    private val ben = Customer("ben")
    private val holder = listOf(CountReceiver("h", 500.milliseconds))
    private val process = CountingProcess("n", 1)

    private fun counter(vararg begun: Pair<Customer, Duration>) =
        begun.fold(UsageCounter(length)) { counter, (customer, at) -> counter.began(customer, offset, at) }

    private fun counts(customer: Customer, count: Int) = mapOf(window to mapOf(customer to count))

    @Test
    fun `only counts that changed are sent, and nothing without a change`() {
        val (first, messages) = counter(ana to 1.seconds, ana to 1.seconds, ben to 1.seconds).due(holder, 1.seconds)
        assertEquals(listOf(OutgoingCounts("h", mapOf(window to mapOf(ana to 2, ben to 1)))), messages)
        assertEquals(emptyList(), first.due(holder, 3.seconds).second)
        val changed = first.began(ben, offset, 1.2.seconds)
        assertEquals(emptyList(), changed.due(holder, 1.4.seconds).second, "before the interval has passed")
        assertEquals(listOf(OutgoingCounts("h", counts(ben, 2))), changed.due(holder, 1.5.seconds).second)
    }

    @Test
    fun `a new receiver gets all counts, in messages of limited size`() {
        val customers = List(50) { Customer("customer-$it") }
        val (known, _) = counter(*customers.map { it to 1.seconds }.toTypedArray()).due(holder, 1.seconds)
        val messages = known.due(holder + CountReceiver("next", 1.seconds), 1.1.seconds).second
        assertEquals(setOf("next"), messages.map { it.receiver }.toSet())
        assertEquals(listOf(40, 10), messages.map { it.windows.getValue(window).size })
    }

    @Test
    fun `the counts of a window are sent once more after its end and forgotten later`() {
        val (sent, _) = counter(ana to 1.seconds).due(holder, 1.seconds)
        assertSame(sent, sent.advanced(offset.timeAt(5.9.seconds)))
        val (repeated, messages) = sent.advanced(offset.timeAt(6.seconds)).due(holder, 6.seconds)
        assertEquals(listOf(OutgoingCounts("h", counts(ana, 1))), messages)
        assertSame(repeated, repeated.advanced(offset.timeAt(7.seconds)))
        assertTrue(repeated.advanced(offset.timeAt(36.seconds)).isEmpty)
    }

    @Test
    fun `requests that began before true time was known get their windows later`() {
        val early = UsageCounter(length).began(ana, null, 4.9.seconds).began(ana, null, 5.1.seconds)
        assertEquals(emptyMap(), early.counts)
        assertEquals(counts(ana, 1) + mapOf(window + 1 to mapOf(ana to 1)), early.dated(offset).counts)
    }

    @Test
    fun `a ledger keeps the highest counts of each start and sums the starts`() {
        val time = offset.timeAt(6.seconds)
        val messages = listOf(process to 3, process to 2, CountingProcess("n", 2) to 4, process to 3)
        val ledger = messages.fold(UsageLedger(length)) { ledger, (sender, count) ->
            assertNotNull(ledger.merged(ReportedCounts(sender, counts(ana, count)), time, 6.seconds))
        }
        assertEquals(mapOf(ana to 7), ledger.total(window))
        assertTrue(ledger.hasHeardAll(window, 6.seconds) && !ledger.hasHeardAll(window, 7.seconds))
        assertEquals(emptyList(), ledger.expired(offset.timeAt(80.seconds), 80.seconds).windows())
    }

    @Test
    fun `counts that can't be true are ignored as a whole`() {
        val time = offset.timeAt(6.seconds)
        val odd = listOf(
            mapOf(window + 3 to mapOf(ana to 1)),
            mapOf(window + -20 to mapOf(ana to 1)),
            mapOf(UsageWindow(Long.MAX_VALUE) to mapOf(ana to 1)),
            counts(ana, -1),
            counts(ana, Int.MAX_VALUE),
            counts(Customer(" "), 1),
        )
        for (counts in odd) {
            assertNull(UsageLedger(length).merged(ReportedCounts(process, counts), time, 6.seconds), "$counts")
        }
    }
}
