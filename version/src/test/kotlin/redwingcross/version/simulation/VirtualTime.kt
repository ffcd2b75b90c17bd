package redwingcross.version.simulation

import java.util.TreeMap
import kotlin.time.Duration

/** Virtual clock and scheduler: runs actions in the order of their virtual times. */
internal class VirtualTime {
    private val actions = TreeMap<Pair<Duration, Long>, () -> Unit>(compareBy({ it.first }, { it.second }))
    private var count = 0L
    var now: Duration = Duration.ZERO
        private set

    /** Schedules [action] to run after [delay]. */
    fun after(delay: Duration, action: () -> Unit) {
        actions[now + delay to count++] = action
    }

    /** Runs everything that is due within [time] and calls [check] after each action. */
    fun advance(time: Duration, check: () -> Unit) {
        val end = now + time
        while (actions.isNotEmpty() && actions.firstKey().first <= end) {
            val (key, action) = actions.pollFirstEntry()
            now = key.first
            action()
            check()
        }
        now = end
        check()
    }
}
