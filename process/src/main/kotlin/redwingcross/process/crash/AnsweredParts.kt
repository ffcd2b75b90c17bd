package redwingcross.process.crash

import redwingcross.request.PromptPart
import kotlin.time.Duration

/**
 * The parts of the requests whose answers began lately at this process, each with the time of its last answer.
 *
 * A part that ends every engine is never in a request whose answer begins, neither after a crash nor before it. When
 * all engines that could answer are lost at once, answers from before are all there is to clear a common part. Not
 * thread-safe: owned by one task.
 */
class AnsweredParts {
    /** In the order of the times. */
    private val lastAnswers = LinkedHashMap<PromptPart, Duration>()

    /** Number of parts that are kept. */
    val size: Int get() = lastAnswers.size

    /** Records that an answer began on a request with [parts]. */
    fun record(parts: Collection<PromptPart>, now: Duration) {
        parts.forEach { part ->
            lastAnswers.remove(part)
            lastAnswers[part] = now
        }
        val oldest = lastAnswers.entries.iterator()
        while (lastAnswers.size > CrashLimits.ANSWERED_PARTS) {
            oldest.next()
            oldest.remove()
        }
    }

    /**
     * Whether answers before the crashes, at [times], clear [part]: too few of the crashes are much later than its last
     * answer to block it. A part that engines no longer stand is blocked by later crashes.
     */
    internal fun clears(part: PromptPart, times: List<Duration>): Boolean {
        if (part !in lastAnswers) return false
        return times.count { !answeredBefore(part, it) } < CrashLimits.CRASHES_TO_BLOCK
    }

    /** Whether an answer began on [part] at most [CrashLimits.answerLifetime] before [at], or later. */
    internal fun answeredBefore(part: PromptPart, at: Duration): Boolean {
        val last = lastAnswers[part] ?: return false
        return at <= last + CrashLimits.answerLifetime
    }
}
