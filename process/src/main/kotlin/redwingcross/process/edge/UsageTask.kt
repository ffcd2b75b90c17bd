package redwingcross.process.edge

import redwingcross.process.usage.ClockEstimate
import redwingcross.process.usage.ClockOffset
import redwingcross.process.usage.ClockSource
import redwingcross.process.usage.ClockView
import redwingcross.process.usage.CountReceiver
import redwingcross.process.usage.CountingProcess
import redwingcross.process.usage.FleetClock
import redwingcross.process.usage.FleetTime
import redwingcross.process.usage.ReportedCounts
import redwingcross.process.usage.UsageCounter
import redwingcross.process.usage.UsageEffect
import redwingcross.process.usage.UsageLedger
import redwingcross.process.usage.UsageMessage
import redwingcross.process.usage.UsageReporter
import redwingcross.process.usage.UsageReporterState
import redwingcross.process.usage.UsageSettings
import redwingcross.process.usage.UsageView
import redwingcross.request.Customer
import redwingcross.request.MonotonicClock
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Message to [UsageTask]. */
sealed interface UsageTaskMessage {
    /** Timer tick, several times a second. */
    data object Check : UsageTaskMessage

    /** A back end began to run a request of [customer] at [at]. */
    data class Began(val customer: Customer, val at: Duration) : UsageTaskMessage

    data class CountsReceived(val counts: UsageCounts) : UsageTaskMessage

    data class ClockHeard(val sender: GatewayRecord, val clock: ProcessClock) : UsageTaskMessage

    /** The active controller announced true time. */
    data class TimeAnnounced(val unixMillis: Long) : UsageTaskMessage

    /** A call to the store or to the platform has completed. */
    data class CallCompleted(val result: UsageMessage) : UsageTaskMessage

    /** The store has come back from an older copy of its data, which may lack reports. */
    data object StoreRestored : UsageTaskMessage

    /** The process ends now: sends what was not sent. */
    data object Flush : UsageTaskMessage
}

/** Callbacks through which [UsageTask] reads the state of the process and makes calls. */
class UsageDependencies(
    /** The wall clock of this VM, in Unix milliseconds. */
    val wallMillis: () -> Long,
    /** Epoch of the controller lease while this process may act under it. */
    val validEpoch: () -> LeaseEpoch?,
    /** Whether this process is the active controller, which announces true time. */
    val isActiveController: () -> Boolean,
    val fleetSize: () -> Int,
    /** The active controller, unless it is this process, and the process that is next in line for its role. */
    val receivers: () -> List<GatewayRecord>,
    val send: (GatewayRecord, UsageCounts) -> Unit,
    /** Carries out a call to the store or the platform; its result arrives as [UsageTaskMessage.CallCompleted]. */
    val call: (UsageEffect) -> Unit,
    /** Called with the outcome of a window (`reported`, `late`, `missed`, `repeated`) and the number of windows. */
    val countWindows: (outcome: String, windows: Int) -> Unit,
    val log: LogEvent,
)

/**
 * Counts the requests of this gateway and reports the usage of the fleet while this process holds the controller lease.
 * Its mailbox is bounded: a request whose message finds it full is not counted, received counts come again with the
 * next change, and the result of a call counts as unknown after some seconds.
 */
class UsageTask(
    private val self: GatewayRecord,
    private val settings: UsageSettings,
    isFirstStart: Boolean,
    private val dependencies: UsageDependencies,
    private val clock: MonotonicClock,
) {
    private val length = settings.bounds.windowLength
    private val startedAt = clock.now()
    private val process = CountingProcess(self.node, self.start)
    private var fleetClock = FleetClock(startedAt)
    private var estimate = ClockEstimate(null, ClockSource.UNKNOWN)
    private var estimatedAt = -Duration.INFINITE
    private var checkedAt = startedAt
    private var caughtUpAt = startedAt
    private var clockSentAt = -Duration.INFINITE
    private var counter = UsageCounter(length)
    private var mergedCounter: UsageCounter? = null
    private var ledger = UsageLedger(length)
    private val log = UsageLog(dependencies.log, dependencies.countWindows)
    private var reporter = UsageReporterState(
        settings.bounds,
        1.seconds / minOf(settings.callsPerSecond, settings.reportsPerSecond),
        isFirstStart,
    )

    /** Requests that were counted after the report of their window was fixed, as far as this process was the holder. */
    val countedMinusReported: Int get() = log.difference

    /** Windows whose reports wait for the store or the platform, while this process is the holder. */
    val unfinishedWindows: Int get() = reporter.unfinished

    /** True time in Unix milliseconds; null while it is not known. */
    fun fleetMillis(): Long? = estimate.offset?.timeAt(clock.now())?.unixMillis

    /** The clocks of this process for its next heartbeat; null if they were stated less than a second ago. */
    fun clockIfDue(): ProcessClock? {
        val now = clock.now()
        if (now - clockSentAt < FleetClock.INTERVAL - CLOCK_TOLERANCE) return null
        clockSentAt = now
        return ProcessClock(dependencies.wallMillis(), (now - startedAt).inWholeMilliseconds)
    }

    /** Processes one message; called on the event loop only. */
    fun handle(message: UsageTaskMessage) {
        when (message) {
            UsageTaskMessage.Check -> check()
            is UsageTaskMessage.Began -> counter = counter.began(message.customer, estimate.offset, message.at)
            is UsageTaskMessage.CountsReceived -> countsReceived(message.counts)
            is UsageTaskMessage.ClockHeard -> clockHeard(message.sender, message.clock)
            is UsageTaskMessage.TimeAnnounced -> if (message.unixMillis in PLAUSIBLE_MILLIS && !isCatchingUp) {
                fleetClock = fleetClock.announced(FleetTime(message.unixMillis), clock.now())
            }
            is UsageTaskMessage.CallCompleted -> step(message.result)
            UsageTaskMessage.StoreRestored -> step(UsageMessage.StoreRestored)
            UsageTaskMessage.Flush -> sendCounts(Duration.ZERO)
        }
    }

    /** Whether messages are handled now that have waited while the process was paused, so that their times are old. */
    private val isCatchingUp: Boolean
        get() = clock.now().let { it - checkedAt > LONGEST_CHECK_GAP || it < caughtUpAt }

    private fun check() {
        val now = clock.now()
        if (now - checkedAt > LONGEST_CHECK_GAP) caughtUpAt = now + LONGEST_CHECK_GAP
        checkedAt = now
        if (now - estimatedAt >= FleetClock.INTERVAL || estimate.offset == null) updateEstimate(now)
        if (!counter.isEmpty) {
            estimate.offset?.let { counter = counter.advanced(it.timeAt(now)) }
            sendCounts(sendInterval)
        }
        if (dependencies.validEpoch() != null) {
            mergeOwnCounts(now)
            step(UsageMessage.Tick)
        } else if (reporter.unstored.isNotEmpty()) {
            step(UsageMessage.Tick)
        }
    }

    private fun updateEstimate(now: Duration) {
        estimatedAt = now
        val view = ClockView(
            ClockOffset.between(dependencies.wallMillis(), now),
            dependencies.fleetSize(),
            dependencies.isActiveController(),
        )
        val before = estimate
        fleetClock = fleetClock.expired(now)
        estimate = fleetClock.estimate(view, before, now)
        log.clock(before, estimate, view.own)
        val offset = estimate.offset ?: return
        counter = counter.dated(offset)
        ledger = ledger.expired(offset.timeAt(now), now)
    }

    private val sendInterval
        get() = if (dependencies.fleetSize() <= LARGEST_FLEET_WITH_SHORT_INTERVAL) SHORT_INTERVAL else LONG_INTERVAL

    private fun sendCounts(interval: Duration) {
        val receivers = dependencies.receivers()
        // The copy for the next in line is needed only if this gateway and the holder end at the same time.
        val targets = receivers.mapIndexed { index, receiver ->
            CountReceiver(
                receiver.incarnation,
                interval * (index + 1),
            )
        }
        val (next, messages) = counter.due(targets, clock.now())
        counter = next
        for (message in messages) {
            val receiver = receivers.first { it.incarnation == message.receiver }
            dependencies.send(receiver, UsageCounts.of(self, message.windows))
        }
    }

    private fun countsReceived(counts: UsageCounts) {
        val time = estimate.offset?.timeAt(clock.now()) ?: return
        val merged = ledger.merged(counts.toReported(), time, clock.now())
        if (merged == null) log.ignored(counts.sender.node) else ledger = merged
    }

    private fun clockHeard(sender: GatewayRecord, reading: ProcessClock) {
        val isPlausible = reading.unixMillis in PLAUSIBLE_MILLIS && reading.countingMillis in PLAUSIBLE_UPTIME
        if (!isPlausible) return log.ignored(sender.node)
        val now = clock.now()
        ledger = ledger.heard(CountingProcess(sender.node, sender.start), null, now)
        if (isCatchingUp) return
        fleetClock = fleetClock.heard(sender.node, reading.unixMillis, now)
        val since = estimate.offset?.timeAt(now - reading.countingMillis.milliseconds)
        ledger = ledger.heard(CountingProcess(sender.node, sender.start), since, now)
    }

    private fun mergeOwnCounts(now: Duration) {
        val offset = estimate.offset ?: return
        ledger = ledger.heard(process, offset.timeAt(startedAt), now)
        if (counter === mergedCounter) return
        mergedCounter = counter
        ledger.merged(ReportedCounts(process, counter.counts), offset.timeAt(now), now)?.let { ledger = it }
    }

    private fun step(message: UsageMessage) {
        val now = clock.now()
        val view = UsageView(dependencies.validEpoch(), estimate.offset?.timeAt(now), ledger)
        val transition = UsageReporter.step(reporter, message, view, now)
        reporter = transition.state
        for (effect in transition.effects) {
            log.record(effect)
            when (effect) {
                is UsageEffect.Read, is UsageEffect.Create, is UsageEffect.Send -> dependencies.call(effect)
                else -> Unit
            }
        }
    }

    private companion object {
        /** Heartbeats are sent each 250 ms, some earlier; a full second would often skip one. */
        val CLOCK_TOLERANCE = 100.milliseconds

        /** Checks are 100 ms apart, so after a longer time the process was paused, or its loop was busy. */
        val LONGEST_CHECK_GAP = 400.milliseconds

        /** From 2020 to 2100, in Unix milliseconds; other readings come from a damaged message. */
        val PLAUSIBLE_MILLIS = 1_577_836_800_000..4_102_444_800_000

        /** Ten years, in milliseconds. */
        val PLAUSIBLE_UPTIME = 0L..315_360_000_000

        /** A process that loses power loses the counts of this time at most. */
        val SHORT_INTERVAL = 500.milliseconds

        /** In a larger fleet the counts of one gateway matter less, and the holder hears more of them. */
        val LONG_INTERVAL = 1.seconds
        const val LARGEST_FLEET_WITH_SHORT_INTERVAL = 150
    }
}
