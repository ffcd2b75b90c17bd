package redwingcross.process.crash

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Puts another part of a list first in each step of time, so that repeated messages carry all of it in turn. */
internal class EvidenceRotation(now: Duration) {
    private val turn = (now / STEP).toLong()

    /** Returns [list] from another place on in each step of time, [stride] places further than in the step before. */
    fun <T> rotate(list: List<T>, stride: Int = STRIDE): List<T> {
        if (list.isEmpty()) return list
        // The second summand reaches the places that a stride with a common factor with the size leaves out.
        val offset = (turn * stride + turn / list.size).mod(list.size)
        return list.drop(offset) + list.take(offset)
    }

    private companion object {
        val STEP: Duration = 250.milliseconds

        /** Crashes skipped at each step: about as many as fit into half a message. */
        const val STRIDE = 16
    }
}
