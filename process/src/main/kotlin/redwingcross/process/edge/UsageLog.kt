package redwingcross.process.edge

import redwingcross.process.usage.ClockEstimate
import redwingcross.process.usage.ClockOffset
import redwingcross.process.usage.UsageEffect
import kotlin.math.abs

/** Logs what was decided about usage reports, and counts it for the metrics. */
internal class UsageLog(private val log: LogEvent, private val countWindows: (outcome: String, windows: Int) -> Unit) {
    /** Requests that were counted after the reports of their windows were fixed. */
    var difference = 0
        private set
    private var isClockOff = false
    private val ignoredNodes = HashSet<String>()

    /** Logs where true time comes from, and when the wall clock of this VM begins or ceases to differ from it. */
    fun clock(before: ClockEstimate, after: ClockEstimate, own: ClockOffset) {
        val ahead = after.offset?.let { own.millis - it.millis } ?: return
        val isOff = abs(ahead) >= LOGGED_DIFFERENCE_MILLIS
        if (before.source == after.source && isOff == isClockOff) return
        isClockOff = isOff
        log("usage_clock", arrayOf("source" to after.source.name.lowercase(), "ahead" to ahead))
    }

    /** Logs that counts of [node] were left out, once for each node. */
    fun ignored(node: String) {
        if (ignoredNodes.size >= MAXIMUM_NODES || !ignoredNodes.add(node)) return
        log("usage_counts_ignored", arrayOf("node" to node, "detail" to "implausible"))
    }

    fun record(effect: UsageEffect) {
        when (effect) {
            is UsageEffect.Read, is UsageEffect.Create -> Unit
            is UsageEffect.Send -> if (effect.sends > 1) {
                countWindows("repeated", 1)
                log("usage_repeated", arrayOf("window" to effect.report.window, "sends" to effect.sends))
            }
            is UsageEffect.HolderStarted ->
                log("usage_holder", arrayOf("epoch" to effect.epoch.value, "acts_after" to effect.wait))
            is UsageEffect.Recovered ->
                log("usage_recovered", arrayOf("epoch" to effect.epoch.value, "open" to effect.open))
            is UsageEffect.Fixed -> log(
                "usage_fixed",
                arrayOf("window" to effect.report.window, "total" to effect.report.total, "own" to effect.isOwn),
            )
            is UsageEffect.Reported -> reported(effect)
            is UsageEffect.Missed -> {
                countWindows("missed", 1)
                val pairs = arrayOf("window" to effect.window, "fixed" to effect.fixed, "sends" to effect.sends)
                log("usage_missed", pairs)
            }
            is UsageEffect.Lost -> {
                val windows = (effect.last.number - effect.first.number + 1).toInt()
                countWindows("missed", windows)
                val pairs = arrayOf("first" to effect.first, "last" to effect.last, "windows" to windows)
                log("usage_windows_lost", pairs)
            }
            is UsageEffect.StoreRestored -> log(
                "usage_store_restored",
                arrayOf("reports" to effect.reports, "knows_all" to effect.knowsAll),
            )
            is UsageEffect.Withheld -> {
                countWindows("missed", 1)
                log("usage_withheld", arrayOf("window" to effect.window))
            }
            is UsageEffect.Difference -> {
                difference += effect.counted - effect.reported
                log(
                    "usage_difference",
                    arrayOf("window" to effect.window, "counted" to effect.counted, "reported" to effect.reported),
                )
            }
        }
    }

    private fun reported(effect: UsageEffect.Reported) {
        countWindows("reported", 1)
        if (effect.isLate) countWindows("late", 1)
        log(
            "usage_reported",
            arrayOf(
                "window" to effect.report.window,
                "total" to effect.report.total,
                "sends" to effect.sends,
                "after" to effect.after,
                "late" to effect.isLate,
            ),
        )
    }

    private companion object {
        /** A tenth of the shortest usual window; smaller differences move hardly any request. */
        const val LOGGED_DIFFERENCE_MILLIS = 500L
        const val MAXIMUM_NODES = 100
    }
}
