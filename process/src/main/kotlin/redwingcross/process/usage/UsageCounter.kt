package redwingcross.process.usage

import redwingcross.request.Customer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Counts of one window, cumulative since the start of the process that counted. */
typealias CountsByWindow = Map<UsageWindow, Map<Customer, Int>>

/** The count of a customer in a window, and the number of its last change among all changes of the counter. */
data class CountEntry(val count: Int, val change: Long)

/** What a receiver of the counts has been sent. */
data class ReceiverProgress(val change: Long, val sentAt: Duration)

/** A process that the counts are sent to, and the shortest time between two messages to it. */
data class CountReceiver(val process: String, val interval: Duration)

/** Counts for one receiver. */
data class OutgoingCounts(val receiver: String, val windows: CountsByWindow)

/**
 * Counts the requests that back ends began to run, by window and customer, and decides what is sent when. Handles the
 * load of a gateway that serves a few requests of many customers a second: only counts that changed are sent, and
 * nothing is sent while nothing changed. A count is cumulative, so a lost or repeated message changes nothing once the
 * next one arrives; after the end of a window its counts are sent once more, since no next one would come.
 */
data class UsageCounter(
    val length: WindowLength,
    private val entries: Map<UsageWindow, Map<Customer, CountEntry>> = emptyMap(),
    /** Requests that began before true time was known, by slice of the monotonic clock. */
    private val undated: Map<Duration, Map<Customer, Int>> = emptyMap(),
    private val changes: Long = 0,
    private val receivers: Map<String, ReceiverProgress> = emptyMap(),
    /** Windows that were sent once more after their end. */
    private val repeated: Set<UsageWindow> = emptySet(),
) {
    /** The counts of all windows that are kept. */
    val counts: CountsByWindow get() = entries.mapValues { (_, byCustomer) -> byCustomer.mapValues { it.value.count } }

    val isEmpty: Boolean get() = entries.isEmpty() && undated.isEmpty()

    /** Counts a request of [customer] that a back end began to run at [now]. */
    fun began(customer: Customer, offset: ClockOffset?, now: Duration): UsageCounter =
        if (offset == null) undated(customer, now) else counted(customer, offset.timeAt(now), 1)

    private fun undated(customer: Customer, now: Duration): UsageCounter {
        val slice = SLICE * (now / SLICE).toLong().toInt()
        val before = undated[slice].orEmpty()
        return copy(undated = undated + (slice to before + (customer to (before[customer] ?: 0) + 1)))
    }

    private fun counted(customer: Customer, time: FleetTime, count: Int): UsageCounter {
        val window = length.windowAt(time)
        val before = entries[window].orEmpty()
        val entry = CountEntry((before[customer]?.count ?: 0) + count, changes + 1)
        return copy(entries = entries + (window to before + (customer to entry)), changes = changes + 1)
    }

    /** Assigns the requests that began before true time was known to their windows. */
    fun dated(offset: ClockOffset): UsageCounter {
        if (undated.isEmpty()) return this
        return undated.entries.fold(copy(undated = emptyMap())) { counter, (slice, byCustomer) ->
            byCustomer.entries.fold(counter) { next, (customer, count) ->
                next.counted(customer, offset.timeAt(slice), count)
            }
        }
    }

    /** Forgets windows that are too old to be reported, and marks those that ended for a last message. */
    fun advanced(time: FleetTime): UsageCounter {
        val expired = entries.keys.filter { time - length.endOf(it) > RETENTION }.toSet()
        val ended = entries.keys.filter { it !in repeated && time - length.endOf(it) >= REPEAT_AFTER } - expired
        if (expired.isEmpty() && ended.isEmpty()) return this
        val kept = copy(entries = entries - expired, repeated = repeated - expired + ended)
        return ended.fold(kept) { counter, window -> counter.touched(window) }
    }

    private fun touched(window: UsageWindow): UsageCounter {
        var number = changes
        val next = entries.getValue(window).mapValues { it.value.copy(change = ++number) }
        return copy(entries = entries + (window to next), changes = number)
    }

    /** The messages that are due at [now]; a new receiver gets all counts that are kept. */
    fun due(targets: List<CountReceiver>, now: Duration): Pair<UsageCounter, List<OutgoingCounts>> {
        var progress = receivers.filterKeys { process -> targets.any { it.process == process } }
        val messages = mutableListOf<OutgoingCounts>()
        for (target in targets) {
            val last = progress[target.process] ?: ReceiverProgress(0, -Duration.INFINITE)
            if (last.change == changes || now - last.sentAt < target.interval) continue
            messages += changedAfter(last.change).map { OutgoingCounts(target.process, it) }
            progress = progress + (target.process to ReceiverProgress(changes, now))
        }
        return if (progress == receivers) this to emptyList() else copy(receivers = progress) to messages
    }

    /** The entries that changed after [change], in parts that fit into a datagram each. */
    private fun changedAfter(change: Long): List<CountsByWindow> = entries
        .flatMap { (window, byCustomer) -> byCustomer.map { (customer, entry) -> Triple(window, customer, entry) } }
        .filter { it.third.change > change }
        .chunked(ENTRIES_PER_MESSAGE)
        .map { part ->
            part.groupBy({ it.first }, { it.second to it.third.count }).mapValues { it.value.toMap() }
        }

    companion object {
        /** Length of the slices in which requests are kept until true time is known. */
        private val SLICE = 50.milliseconds

        /** Time after the end of a window at which its counts are sent once more. */
        val REPEAT_AFTER: Duration = 1.seconds

        /** Longer than the store's outages and a takeover together, after which a new holder needs the counts. */
        val RETENTION: Duration = 30.seconds

        /** An entry has at most 30 bytes at usual names, and a datagram of 1,400 bytes is not divided on the way. */
        private const val ENTRIES_PER_MESSAGE = 40
    }
}
