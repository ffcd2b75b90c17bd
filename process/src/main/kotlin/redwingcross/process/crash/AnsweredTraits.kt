package redwingcross.process.crash

import redwingcross.request.RequestTrait
import kotlin.time.Duration

/**
 * The traits of the requests whose answers began lately at this process, each with the time of its last answer.
 *
 * A trait that ends every engine is never in a request whose answer begins, neither after a crash nor before it. When
 * all engines that could answer are lost at once, answers from before are all there is to clear a common trait. Not
 * thread-safe: owned by one task.
 */
class AnsweredTraits {
    /** Traits that were answered once, in the order of the times. */
    private val answeredOnce = LinkedHashMap<RequestTrait, Duration>()

    /** Traits that were answered again while they were kept, in the order of the times. */
    private val answeredAgain = LinkedHashMap<RequestTrait, Duration>()

    /** Number of traits that are kept. */
    val size: Int get() = answeredOnce.size + answeredAgain.size

    /** Records that an answer began on a request with [traits]. */
    fun record(traits: Collection<RequestTrait>, now: Duration) {
        traits.forEach { trait ->
            val isKnown = answeredAgain.remove(trait) != null || answeredOnce.remove(trait) != null
            (if (isKnown) answeredAgain else answeredOnce)[trait] = now
        }
        while (size > CrashLimits.ANSWERED_TRAITS) {
            removeOldest(if (answeredAgain.size > CrashLimits.ANSWERED_TRAITS / 2) answeredAgain else answeredOnce)
        }
    }

    private fun removeOldest(answers: LinkedHashMap<RequestTrait, Duration>) {
        val oldest = answers.entries.iterator()
        oldest.next()
        oldest.remove()
    }

    private fun lastAnswer(trait: RequestTrait): Duration? = answeredAgain[trait] ?: answeredOnce[trait]

    /**
     * Whether answers before the crashes, at [times], clear [trait]: too few of the crashes are much later than its
     * last answer to block it. A trait that engines no longer stand is blocked by later crashes.
     */
    internal fun clears(trait: RequestTrait, times: List<Duration>): Boolean {
        if (lastAnswer(trait) == null) return false
        return times.count { !answeredBefore(trait, it) } < CrashLimits.CRASHES_TO_BLOCK
    }

    /** Whether an answer began on [trait] at most [CrashLimits.answerLifetime] before [at], or later. */
    internal fun answeredBefore(trait: RequestTrait, at: Duration): Boolean {
        val last = lastAnswer(trait) ?: return false
        return at <= last + CrashLimits.answerLifetime
    }
}
