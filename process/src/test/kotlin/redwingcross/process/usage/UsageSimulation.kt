package redwingcross.process.usage

import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.ProcessClock
import redwingcross.process.edge.UsageCounts
import redwingcross.process.edge.UsageDependencies
import redwingcross.process.edge.UsageTask
import redwingcross.process.edge.UsageTaskMessage
import redwingcross.request.Customer
import redwingcross.request.MonotonicClock
import redwingcross.version.placement.LeaseEpoch
import java.util.TreeMap
import kotlin.random.Random
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet of three gateways that report usage, with a lease, a store and a platform that lose, delay and repeat
 * messages, in virtual time. The platform's side is the oracle: it checks each call that arrives against the rules.
 */
internal class UsageSimulation(seed: Long) {
    private val random = Random(seed)
    private val actions = TreeMap<Pair<Duration, Long>, () -> Unit>(compareBy({ it.first }, { it.second }))
    private var actionCount = 0L
    private val length = WindowLength(5.seconds)
    private val times = UsageTimes.of(UsageBounds())
    var now: Duration = Duration.ZERO
        private set
    val processes = List(3, ::Process)

    /** Faults of the store and the platform, until the time given. */
    var storeDownUntil = Duration.ZERO
    var storeLosesUntil = Duration.ZERO
    var cloudBusyUntil = Duration.ZERO
    var cloudLosesUntil = Duration.ZERO

    /** Fraction of the datagrams that are lost. */
    var datagramLoss = 0.0

    // The lease.
    private var epoch = 0L
    private var holder: Process? = null
    private var holderStart = 0
    private var renewedAt = -Duration.INFINITE

    // What the store and the platform have, and what is true.
    private val stored = HashMap<UsageWindow, StoredReport>()
    private val storedAt = HashMap<UsageWindow, Duration>()

    /** Reports that the store has lost at a restore. */
    private val lost = HashSet<UsageReport>()
    private var era = 0

    /** Times from which the store was away to the time at which it was back as an older copy. */
    private val restores = mutableListOf<Pair<Duration, Duration>>()
    private val truth = HashMap<UsageWindow, MutableMap<Customer, Int>>()
    private val accepted = HashMap<UsageWindow, UsageReport>()
    private val acceptedAt = HashMap<UsageWindow, Duration>()
    private val calls = mutableListOf<Triple<Duration, String, Long>>()
    private val powerLosses = mutableListOf<Duration>()

    private fun after(delay: Duration, action: () -> Unit) {
        actions[now + delay to actionCount++] = action
    }

    private fun between(low: Int, high: Int) = random.nextInt(low, high + 1).milliseconds

    fun run(duration: Duration) {
        val end = now + duration
        while (now < end) {
            now += TICK
            while (actions.isNotEmpty() && actions.firstKey().first <= now) actions.pollFirstEntry().value()
            processes.forEach(Process::tick)
        }
    }

    private fun trueTime(at: Duration = now) = FleetTime(ORIGIN_MILLIS) + at

    fun loseAllPower() {
        // Nothing had begun yet right after the begin of a window.
        if (trueTime() - length.startOf(length.windowAt(trueTime())) > 300.milliseconds) powerLosses += now
        processes.forEach { it.restart(between(100, 2500)) }
    }

    /** The store is away for [away] and comes back from a copy that is [age] older than its end. */
    fun restoreStore(away: Duration, age: Duration) {
        val from = now
        storeDownUntil = maxOf(storeDownUntil, now + away)
        after(away) {
            era++
            restores += from to now
            for (window in storedAt.filterValues { it > from - age }.keys) lost += stored.remove(window)!!.report
            storedAt.keys.retainAll(stored.keys)
        }
    }

    /** Whether [window] may have been fixed and sent while the store was going away, as far as a successor knows. */
    private fun isAtRisk(window: UsageWindow): Boolean = restores.any { (from, until) ->
        val fixedAt = now - (trueTime() - length.endOf(window)) + times.closeAfter
        fixedAt in from - 10.seconds..until + RESTORE_MARGIN
    }

    /** Ends all faults but leaves the clocks as they are. */
    fun clearFaults() {
        listOf<() -> Unit>({
            storeDownUntil = now
        }, { storeLosesUntil = now }, { cloudBusyUntil = now }).forEach { it() }
        cloudLosesUntil = now
        datagramLoss = 0.0
        processes.forEach { it.clearFaults() }
    }

    inner class Process(private val index: Int) {
        private var starts = 1
        private var pausedUntil = Duration.ZERO
        var cutOffUntil = Duration.ZERO
        var clockStep = 0L
        private var validUntil = Duration.ZERO
        private var ownEpoch = 0L
        private var ticks = 0
        private var isStopping = false
        private var seenEra = 0

        /** Whether no requests begin at this process. */
        var isIdle = false
        val isHolder get() = holder === this
        private var isRunning = true
        private val inbox = ArrayDeque<() -> Unit>()
        private var usage = newTask()
        private val record get() = GatewayRecord(
            "n$index",
            starts.toLong(),
            "10.0.0.$index",
            1,
            "10.0.0.$index:80",
            "a",
        )
        private val isPaused get() = now < pausedUntil

        private fun newTask() = UsageTask(
            record,
            UsageSettings(null),
            isFirstStart = false,
            UsageDependencies(
                wallMillis = { (trueTime() + clockStep.milliseconds).unixMillis },
                validEpoch = { LeaseEpoch(ownEpoch).takeIf { now < validUntil } },
                isActiveController = { holder === this && holderStart == starts },
                fleetSize = { processes.size },
                receivers = ::receivers,
                send = { receiver, counts -> datagram(receiver, counts) },
                call = ::call,
                countWindows = { _, _ -> },
                log = { _, _ -> },
            ),
            MonotonicClock { now },
        )

        fun pause(duration: Duration) {
            pausedUntil = now + duration
        }

        fun clearFaults() {
            pausedUntil = minOf(pausedUntil, now)
            cutOffUntil = now
        }

        /** Ends the process without notice and starts it [pause] later. */
        fun restart(pause: Duration) {
            starts++
            validUntil = Duration.ZERO
            inbox.clear()
            isRunning = false
            pause(pause)
        }

        /** Gives up the lease, which the next process may then take at once. */
        fun release() {
            if (holder !== this) return
            validUntil = Duration.ZERO
            ownEpoch = 0
            renewedAt = now - 1100.milliseconds
        }

        /** A planned stop: the process releases the lease, serves for 2 s more and sends its last counts. */
        fun restartGracefully() {
            isStopping = true
            release()
            validUntil = Duration.ZERO
            after(2.seconds) {
                isStopping = false
                if (isRunning) usage.handle(UsageTaskMessage.Flush)
                restart(200.milliseconds)
            }
        }

        private fun receivers(): List<GatewayRecord> {
            val others = processes.filter { it !== this }
            val active = holder.takeIf { it !== this }
            return listOfNotNull(active, others.firstOrNull { it !== active }).map { it.record }
        }

        fun tick() {
            if (isPaused) return
            if (!isRunning) usage = newTask().also { seenEra = 0 }
            isRunning = true
            if (now >= cutOffUntil && now >= storeDownUntil) storeAnswered()
            while (inbox.isNotEmpty()) inbox.removeFirst()()
            ticks++
            renewLease()
            beginRequests()
            if (ticks % 2 == 0) usage.handle(UsageTaskMessage.Check)
            if (ticks % 5 == 0) usage.clockIfDue()?.let(::sendClock)
        }

        private fun renewLease() {
            if (isStopping || now < cutOffUntil || now < storeDownUntil) return
            val holdsLease = holder === this && holderStart == starts && ownEpoch == epoch
            if (holdsLease && now - renewedAt >= 500.milliseconds) {
                renewedAt = now
            } else if (!holdsLease && now - renewedAt >= 1200.milliseconds + 100.milliseconds * index) {
                holder = this
                holderStart = starts
                ownEpoch = ++epoch
                renewedAt = now
            } else {
                return
            }
            validUntil = now + 1.seconds
        }

        /** Each answer of the store states its era. */
        private fun storeAnswered() {
            if (seenEra == era) return
            seenEra = era
            usage.handle(UsageTaskMessage.StoreRestored)
        }

        private fun beginRequests() {
            val age = trueTime() - length.startOf(length.windowAt(trueTime()))
            // The median is known to some milliseconds only, so nothing begins next to a change of windows.
            if (isIdle || age < 200.milliseconds || age > 4800.milliseconds) return
            repeat(random.nextInt(0, 3)) {
                val customer = Customer("c${random.nextInt(3)}")
                truth.getOrPut(length.windowAt(trueTime()), ::HashMap).merge(customer, 1, Int::plus)
                usage.handle(UsageTaskMessage.Began(customer, now))
            }
        }

        /** Delivers to the current start of this process, when it is not paused. */
        private fun deliver(start: Int, delay: Duration, action: () -> Unit) = after(delay) {
            if (isRunning && start == starts) inbox.addLast(action)
        }

        private fun datagram(receiver: GatewayRecord, counts: UsageCounts) {
            val target = processes.first { it.record.node == receiver.node }
            repeat(if (random.nextInt(10) == 0) 2 else 1) {
                if (random.nextDouble() >= datagramLoss) {
                    target.deliver(receiver.start.toInt(), between(1, 300)) {
                        target.usage.handle(UsageTaskMessage.CountsReceived(counts))
                    }
                }
            }
        }

        private fun sendClock(clock: ProcessClock) {
            val sender = record
            for (target in processes.filter { it !== this }) {
                target.deliver(target.starts, between(1, 30)) {
                    target.usage.handle(UsageTaskMessage.ClockHeard(sender, clock))
                }
            }
        }

        private fun call(effect: UsageEffect) {
            when (effect) {
                is UsageEffect.Read -> store(effect.call, isRead = true) {
                    stored[effect.window]?.let { UsageMessage.Existed(effect.call, it) }
                        ?: UsageMessage.Absent(effect.call)
                }
                is UsageEffect.Create -> store(effect.call, isRead = false) {
                    val before = stored.putIfAbsent(effect.stored.report.window, effect.stored)
                    storedAt.putIfAbsent(effect.stored.report.window, now)
                    if (before == null) UsageMessage.Created(effect.call) else UsageMessage.Existed(effect.call, before)
                }
                is UsageEffect.Send -> send(effect)
                else -> error("$effect is no call")
            }
        }

        private fun result(start: Int, delay: Duration, message: UsageMessage) =
            deliver(start, delay) { usage.handle(UsageTaskMessage.CallCompleted(message)) }

        private fun store(call: Long, isRead: Boolean, execute: () -> UsageMessage) {
            val start = starts
            if (now < storeDownUntil || now < cutOffUntil) {
                result(start, 5.milliseconds, UsageMessage.StoreFailed(call))
            } else if (now < storeLosesUntil && random.nextInt(3) > 0) {
                // The call takes effect, now or after the caller has given it up, but its answer is lost.
                after(between(1, 1800)) { execute() }
                result(
                    start,
                    1.seconds,
                    if (isRead) UsageMessage.StoreFailed(call) else UsageMessage.StoreUnknown(call),
                )
            } else {
                after(between(1, 20)) { result(start, between(1, 20), execute()) }
            }
        }

        private fun send(effect: UsageEffect.Send) {
            val start = starts
            val name = "n$index"
            val delay = between(1, if (now < cloudLosesUntil) 1400 else 100)
            val isLost = now < cloudLosesUntil && random.nextInt(3) > 0
            after(delay) {
                val answer = receive(name, effect)
                if (!isLost) result(start, between(1, 50), answer)
            }
            if (isLost) result(start, 1500.milliseconds, UsageMessage.SendFailed(effect.call))
        }
    }

    /** The platform's side of a call. */
    private fun receive(name: String, effect: UsageEffect.Send): UsageMessage {
        val token = effect.token.value
        calls.filter { it.third == token }.forEach { assertEquals(it.second, name, "machines with the token $token") }
        assertTrue(calls.all { it.third <= token }, "token $token after ${calls.maxOfOrNull { it.third }}")
        val other = calls.indexOfLast { it.second != name }
        val before = if (other < 0) null else calls.subList(0, other).lastOrNull { it.second == name }
        if (before != null && calls.last().second != name) {
            assertTrue(now - before.first >= 3.seconds, "$name acted at ${before.first} and again at $now")
        }
        calls += Triple(now, name, token)
        if (now < cloudBusyUntil) return UsageMessage.SendFailed(effect.call)
        val window = effect.report.window
        assertEquals(accepted[window] ?: effect.report, effect.report, "reports of window $window")
        val isLost = effect.report in lost
        if (!isLost) {
            assertEquals(stored[window]?.report, effect.report, "the stored and the sent report of window $window")
        }
        for ((customer, count) in effect.report.counts) {
            assertTrue(count <= truth[window]?.get(customer) ?: 0, "$customer in window $window: $count of $truth")
        }
        if (accepted.put(window, effect.report) == null) acceptedAt[window] = now
        return UsageMessage.Acknowledged(effect.call)
    }

    /** Windows in which the whole fleet lost its counts are not reported in part. */
    fun checkPowerLosses() {
        for (loss in powerLosses) {
            val window = length.windowAt(trueTime(loss))
            val report = accepted[window] ?: continue
            assertEquals<Map<Customer, Int>?>(
                truth[window],
                report.counts,
                "window $window, in which the power was lost",
            )
        }
    }

    /**
     * Every window from [from] on that ended long ago was reported exactly and in time; returns their number. One that
     * may have been sent before a restore of the store may be missing.
     */
    fun checkReported(from: Duration): Int {
        val first = length.windowAt(trueTime(from)) + 1
        val last = length.windowAt(trueTime(now - 11.seconds)) + -1
        for (window in (first.number..last.number).map(::UsageWindow)) {
            if (window !in accepted && isAtRisk(window)) continue
            assertEquals<Map<Customer, Int>?>(truth[window], accepted[window]?.counts, "window $window")
            val after = trueTime(acceptedAt.getValue(window)) - length.endOf(window)
            assertTrue(after <= 10.seconds, "window $window was reported $after after its end")
        }
        return (last.number - first.number + 1).toInt()
    }

    /** Every report that was stored since [from] reached the platform, also if its holder ended before it sent it. */
    fun checkStoredAreSent(from: Duration) {
        val oldest = length.windowAt(trueTime(from))
        val unsent = stored.keys.filter {
            it >= oldest && it !in accepted && trueTime() - length.endOf(it) > times.closeAtLatest + 5.seconds
        }
        assertEquals(emptyList<UsageWindow>(), unsent, "stored reports that were never sent")
    }

    private companion object {
        val TICK = 50.milliseconds

        /** A process sees the restore with the next answer, and estimates of true time differ. */
        val RESTORE_MARGIN = 1.seconds
        const val ORIGIN_MILLIS = 1_800_000_002_000
    }
}
