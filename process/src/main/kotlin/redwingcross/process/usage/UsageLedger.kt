package redwingcross.process.usage

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import redwingcross.request.Customer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A start of a gateway, which counts from zero. */
data class CountingProcess(
    val node: String,
    /** Start of the process in Unix milliseconds by its own clock; distinguishes two starts of a node. */
    val start: Long,
)

/** Counts that one process reported. */
data class ReportedCounts(val process: CountingProcess, val windows: CountsByWindow)

/**
 * The counts of all gateways, as far as a process received them. A count replaces a lower one of the same process,
 * window and customer, so messages may be lost, repeated and reordered.
 */
data class UsageLedger(
    val length: WindowLength,
    private val windows: PersistentMap<UsageWindow, PersistentMap<CountingProcess, Map<Customer, Int>>> =
        persistentHashMapOf(),
    /** Since when a process counts. */
    private val since: Map<CountingProcess, FleetTime> = emptyMap(),
    /** When a node was heard last. */
    private val heardAt: PersistentMap<String, Duration> = persistentHashMapOf(),
) {
    /** Windows with counts, oldest first. */
    fun windows(): List<UsageWindow> = windows.keys.sorted()

    /** Since when the process that counts longest does so; null if none is known. */
    val earliest: FleetTime? get() = since.values.minOrNull()

    /** The sum of the counts of all processes. */
    fun total(window: UsageWindow): Map<Customer, Int> {
        val sums = HashMap<Customer, Int>()
        windows[window]?.values?.forEach { counts ->
            counts.forEach { (id, count) -> sums.merge(id, count, Int::plus) }
        }
        return sums
    }

    /** Merges what a process reported; null if it can't be true, and is left out as a whole. */
    fun merged(reported: ReportedCounts, time: FleetTime, now: Duration): UsageLedger? {
        if (!isPlausible(reported, time)) return null
        var next = windows
        for ((window, counts) in reported.windows) {
            val byProcess = next[window] ?: persistentHashMapOf()
            val known = byProcess[reported.process].orEmpty()
            val higher = counts.filter { (customer, count) -> count > (known[customer] ?: 0) }
            if (higher.isNotEmpty()) next = next.put(window, byProcess.put(reported.process, known + higher))
        }
        return copy(windows = next, heardAt = heardAt.put(reported.process.node, now))
    }

    private fun isPlausible(reported: ReportedCounts, time: FleetTime): Boolean {
        val newest = length.windowAt(time) + 1
        val oldest = length.windowAt(time + -LIFETIME)
        return reported.windows.all { (window, counts) ->
            window in oldest..newest &&
                counts.size <= MAXIMUM_CUSTOMERS &&
                counts.all { it.key.value.isNotBlank() && it.value in 0..MAXIMUM_COUNT }
        }
    }

    /** Records that [process] was heard, and since when it counts. */
    fun heard(process: CountingProcess, countsSince: FleetTime?, now: Duration): UsageLedger {
        val known = process in since || countsSince == null
        val next = copy(heardAt = heardAt.put(process.node, now))
        return if (known) next else next.copy(since = since + (process to countsSince!!))
    }

    /** Whether every node that counted in [window] was heard at [after] or later. */
    fun hasHeardAll(window: UsageWindow, after: Duration): Boolean =
        windows[window]?.keys.orEmpty().all { (heardAt[it.node] ?: -Duration.INFINITE) >= after }

    /** Forgets windows and processes that no report needs any more. */
    fun expired(time: FleetTime, now: Duration): UsageLedger {
        val oldest = length.windowAt(time + -LIFETIME)
        val old = windows.keys.filter { it < oldest }
        val next = old.fold(windows) { left, window -> left.remove(window) }
        val silent = heardAt.filterValues { now - it > LIFETIME }.keys
        if (old.isEmpty() && silent.isEmpty()) return this
        return copy(
            windows = next,
            since = since.filterKeys { it.node !in silent },
            heardAt = silent.fold(heardAt) { left, node -> left.remove(node) },
        )
    }

    companion object {
        /** Longer than the time after which a report is given up. */
        private val LIFETIME = 70.seconds
        private const val MAXIMUM_CUSTOMERS = 1000

        /** More requests than a gateway can begin in a window. */
        private const val MAXIMUM_COUNT = 1_000_000
    }
}
