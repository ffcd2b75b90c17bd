package redwingcross.process.edge

/** Counts the calls of the functions that a gateway depends on, and lets one of these calls fail. */
class FailingSteps {
    private val calls = LinkedHashMap<String, Int>()
    private var failing: Pair<String, Int>? = null

    /** Whether the call that was to fail has failed. */
    var hasFailed = false
        private set

    /** Begins a new run in which call [number], counted from 0, of [step] fails. */
    fun begin(step: String? = null, number: Int = 0) {
        calls.clear()
        hasFailed = false
        failing = step?.let { it to number }
    }

    /** Called for each call of [step]. */
    fun pass(step: String) {
        val number = calls.merge(step, 1, Int::plus)!! - 1
        if (failing != step to number) return
        hasFailed = true
        error("$step $number")
    }

    fun count(step: String): Int = calls[step] ?: 0

    /** The steps that were called, with the number of calls. */
    fun counted(): Map<String, Int> = calls.toMap()
}
