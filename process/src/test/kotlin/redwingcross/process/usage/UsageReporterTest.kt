package redwingcross.process.usage

import redwingcross.request.Customer
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against single decisions of the holder that the simulation reaches only by chance. */
class UsageReporterTest {
    private val bounds = UsageBounds()
    private val length = bounds.windowLength
    private val offset = ClockOffset(1_800_000_000_000)
    private val window = UsageWindow(360_000_000)
    private val process = CountingProcess("n", 1)
    private val customer = Customer("ana")
    private var ledger = UsageLedger(length)
    private var state = UsageReporterState(bounds, 20.milliseconds)
    private var now = Duration.ZERO

    private fun count(window: UsageWindow, count: Int, at: Duration) {
        val counts = ReportedCounts(process, mapOf(window to mapOf(customer to count)))
        ledger = checkNotNull(ledger.merged(counts, offset.timeAt(at), at))
    }

    private var epoch: LeaseEpoch? = LeaseEpoch(4)

    private fun step(message: UsageMessage, at: Duration = now): List<UsageEffect> {
        now = at
        val view = UsageView(epoch, offset.timeAt(now), ledger)
        val transition = UsageReporter.step(state, message, view, now)
        state = transition.state
        return transition.effects
    }

    private fun tick(at: Duration) = step(UsageMessage.Tick, at)

    /** Takes the lease and answers the reads; no report is stored but that of [stored]. Returns the last effects. */
    private fun takeOver(since: Duration = -10.seconds, stored: UsageWindow? = null): List<UsageEffect> {
        ledger = ledger.heard(process, offset.timeAt(since), now)
        tick(now)
        var effects = tick(now + 3.seconds)
        while (true) {
            val read = effects.filterIsInstance<UsageEffect.Read>().firstOrNull() ?: return effects
            val found = StoredReport(UsageReport(read.window, emptyMap()), read.window)
            val isFound = read.window == stored
            effects = step(if (isFound) UsageMessage.Existed(read.call, found) else UsageMessage.Absent(read.call))
        }
    }

    /** The send of the only report that is due now. */
    private fun sendAfterCreate(at: Duration): UsageEffect.Send {
        val create = assertIs<UsageEffect.Create>(tick(at).single())
        return assertIs<UsageEffect.Send>(step(UsageMessage.Created(create.call)).last())
    }

    @Test
    fun `a window waits for its gateways and is fixed without one that stays silent`() {
        takeOver()
        count(window, 3, at = 4.seconds)
        assertEquals(emptyList(), tick(7.6.seconds), "the gateway was not heard since the end of the window")
        assertEquals(emptyList(), tick(9.9.seconds))
        assertEquals(mapOf(customer to 3), sendAfterCreate(10.seconds).report.counts)
    }

    @Test
    fun `a report is repeated with growing pauses and given up after its expiry`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        var send = sendAfterCreate(7.6.seconds)
        for ((sends, pause) in listOf(250, 500, 1000, 2000, 2000).withIndex()) {
            step(UsageMessage.SendFailed(send.call))
            assertEquals(emptyList(), tick(now + (pause - 10).milliseconds))
            send = assertIs(tick(now + 10.milliseconds).single())
            assertEquals(sends + 2, send.sends)
        }
        step(UsageMessage.SendFailed(send.call))
        assertEquals(listOf(UsageEffect.Missed(window, fixed = true, sends = 6)), tick(65.1.seconds))
    }

    @Test
    fun `a report that the platform refuses does not hold up the others`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val first = sendAfterCreate(7.6.seconds)
        count(window + 1, 5, at = 12.3.seconds)
        val others = step(UsageMessage.SendRejected(first.call), 12.6.seconds)
        val create = others.filterIsInstance<UsageEffect.Create>().single()
        val second = assertIs<UsageEffect.Send>(step(UsageMessage.Created(create.call)).last())
        assertEquals(window + 1, second.report.window)
        assertEquals(window, create.stored.settledBefore, "the first report is not settled")
        val reported = step(UsageMessage.Acknowledged(second.call), 13.seconds).first()
        assertEquals(UsageEffect.Reported(second.report, 1, 3.seconds, isLate = false), reported)
        assertEquals(window, assertIs<UsageEffect.Send>(tick(14.7.seconds).single()).report.window)
    }

    @Test
    fun `requests that are counted after the report are stated as a difference`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val send = sendAfterCreate(7.6.seconds)
        step(UsageMessage.Acknowledged(send.call))
        count(window, 5, at = 9.seconds)
        assertEquals(listOf(UsageEffect.Difference(window, counted = 5, reported = 3)), tick(65.1.seconds))
    }

    @Test
    fun `a process that holds the lease again reads what others have stored meanwhile`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val send = sendAfterCreate(7.6.seconds)
        epoch = LeaseEpoch(6)
        assertEquals(listOf(UsageEffect.HolderStarted(LeaseEpoch(6), 3.seconds)), tick(8.seconds))
        assertEquals(emptyList(), step(UsageMessage.Acknowledged(send.call)), "a call of the former epoch")
        assertEquals(emptyList(), tick(10.9.seconds))
        assertIs<UsageEffect.Read>(tick(11.seconds).single())
    }

    @Test
    fun `a window with an unreadable object is never sent with another content`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val create = assertIs<UsageEffect.Create>(tick(7.6.seconds).single())
        val missed = UsageEffect.Missed(window, fixed = true, sends = 0)
        assertEquals(listOf(missed), step(UsageMessage.Existed(create.call, null)))
        assertEquals(emptyList(), tick(20.seconds))
    }

    @Test
    fun `windows whose counts were lost with all processes are logged and not reported`() {
        val effects = takeOver(since = 1.seconds, stored = window + -3)
        assertTrue(UsageEffect.Lost(window + -2, window) in effects, "$effects")
        count(window, 3, at = 7.3.seconds)
        assertEquals(emptyList(), tick(8.seconds).filterIsInstance<UsageEffect.Create>())
    }

    private fun restore(at: Duration = now) = step(UsageMessage.StoreRestored, at)

    @Test
    fun `a report that the store may have lost is stored again before it is sent again`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val send = sendAfterCreate(7.6.seconds)
        step(UsageMessage.SendFailed(send.call))
        count(window, 5, at = 7.8.seconds)
        val (restored, repeated) = restore()
        assertEquals(UsageEffect.StoreRestored(reports = 1, knowsAll = true), restored)
        assertEquals(send.report, assertIs<UsageEffect.Create>(repeated).stored.report)
        assertEquals(emptyList(), step(UsageMessage.StoreFailed(repeated.call), 8.5.seconds))
        val again = assertIs<UsageEffect.Create>(tick(9.seconds).single())
        assertEquals(send.report, again.stored.report)
        assertEquals(send.report, assertIs<UsageEffect.Send>(step(UsageMessage.Created(again.call)).single()).report)
    }

    @Test
    fun `a process that has lost the lease stores its reports again`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val send = sendAfterCreate(7.6.seconds)
        step(UsageMessage.Acknowledged(send.call))
        epoch = null
        repeat(2) {
            val create = assertIs<UsageEffect.Create>(restore(now + 2.seconds).last(), "restore $it")
            assertEquals(StoredReport(send.report, window), create.stored)
            assertEquals(emptyList(), step(UsageMessage.Existed(create.call, create.stored)))
        }
        assertEquals(emptyList(), tick(now + 1.seconds))
    }

    @Test
    fun `a new holder reports no window that its predecessor may have sent`() {
        epoch = null
        assertEquals(listOf(UsageEffect.StoreRestored(reports = 0, knowsAll = false)), restore(1.seconds))
        assertEquals(listOf(UsageEffect.StoreRestored(reports = 0, knowsAll = false)), restore(8.seconds))
        epoch = LeaseEpoch(10_001)
        takeOver()
        count(window, 3, at = 11.seconds)
        count(window + 1, 4, at = 12.3.seconds)
        val effects = tick(12.6.seconds)
        assertEquals(listOf<UsageEffect>(UsageEffect.Withheld(window)), effects)
        assertEquals(window + 1, assertIs<UsageEffect.Create>(tick(12.7.seconds).single()).stored.report.window)
    }

    @Test
    fun `a report whose create was pending at the restore is read first`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val create = assertIs<UsageEffect.Create>(tick(7.6.seconds).single())
        val read = assertIs<UsageEffect.Read>(restore().last())
        assertEquals(emptyList(), step(UsageMessage.Created(create.call)), "the store may have lost the report")
        count(window, 4, at = 7.7.seconds)
        assertEquals(emptyList(), step(UsageMessage.Absent(read.call)).filterIsInstance<UsageEffect.Send>())
    }

    /** Restores the store at 9.5 s after the lease was valid until [validUntil]; the same process acts again. */
    private fun restoreAndTakeOverAgain(validUntil: Duration): List<UsageEffect> {
        takeOver()
        count(window, 3, at = 4.seconds)
        tick(validUntil)
        epoch = null
        restore(9.5.seconds)
        epoch = LeaseEpoch(10_001)
        return takeOver()
    }

    @Test
    fun `a holder that has seen every report fixes those of windows that nobody has sent`() {
        val create = assertIs<UsageEffect.Create>(restoreAndTakeOverAgain(validUntil = 7.seconds).last())
        assertEquals(window, create.stored.report.window)
    }

    @Test
    fun `a holder reports no window that another one may have sent between its lease and the restore`() {
        assertEquals(UsageEffect.Withheld(window), restoreAndTakeOverAgain(validUntil = 6.4.seconds).last())
    }

    @Test
    fun `a window whose lost report was replaced by another one is not sent again`() {
        takeOver()
        count(window, 3, at = 7.3.seconds)
        val send = sendAfterCreate(7.6.seconds)
        step(UsageMessage.SendFailed(send.call))
        val create = assertIs<UsageEffect.Create>(restore().last())
        val other = StoredReport(UsageReport(window, mapOf(customer to 9)), window)
        val missed = UsageEffect.Missed(window, fixed = true, sends = 1)
        assertEquals(listOf<UsageEffect>(missed), step(UsageMessage.Existed(create.call, other)))
        assertEquals(emptyList(), tick(20.seconds))
        epoch = LeaseEpoch(10_001)
        assertEquals(emptyList(), takeOver(stored = window).filterIsInstance<UsageEffect.Send>())
    }

    @Test
    fun `a window that the predecessor stated as settled is not reported again after a restore`() {
        now = 13.seconds
        takeOver(stored = window + 1)
        count(window, 3, at = now)
        val create = assertIs<UsageEffect.Create>(restore().last())
        assertEquals(window + 1, create.stored.report.window)
        val others = step(UsageMessage.Created(create.call)) + tick(now + 1.seconds)
        assertEquals(emptyList(), others.filterIsInstance<UsageEffect.Create>())
        epoch = LeaseEpoch(10_001)
        assertEquals(emptyList(), takeOver(stored = window + 1).filterIsInstance<UsageEffect.Create>())
    }
}
