package redwingcross.process.crash

import redwingcross.request.RequestDigest
import redwingcross.request.RequestTrait
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What the crashes of a trait have to show before it is blocked: that they happened at [separateTimes] and under
 * [attempts]. Answers then have [clearingTime] to clear it.
 */
internal data class BlockThreshold(val separateTimes: Int, val attempts: Int, val clearingTime: Duration)

/**
 * The thresholds of one kind of trait. Those of [amidOthers], of which one suffices, apply while other ends cast doubt
 * on the crashes; all have the same clearing time.
 */
internal data class BlockThresholds(val alone: BlockThreshold, val amidOthers: List<BlockThreshold>) {
    companion object {
        private val ofPart = BlockThresholds(
            BlockThreshold(
                CrashLimits.SEPARATE_TIMES_TO_BLOCK,
                CrashLimits.ATTEMPTS_TO_BLOCK,
                CrashLimits.clearingTime,
            ),
            listOf(
                BlockThreshold(
                    CrashLimits.SEPARATE_TIMES_TO_BLOCK_AMID_OTHERS,
                    CrashLimits.ATTEMPTS_TO_BLOCK_AMID_OTHERS,
                    CrashLimits.longClearingTime,
                ),
            ),
        )

        /** A wrong block refuses only repeats of one request, so answers get just the time that they take to spread. */
        private val ofRequest = BlockThresholds(
            ofPart.alone.copy(clearingTime = 750.milliseconds),
            listOf(
                BlockThreshold(separateTimes = 3, attempts = 3, clearingTime = 1250.milliseconds),
                // A service of few engines loses all of them at a time, and its crashes are seconds apart.
                BlockThreshold(separateTimes = 2, attempts = 4, clearingTime = 1250.milliseconds),
            ),
        )

        fun of(trait: RequestTrait): BlockThresholds = if (trait is RequestDigest) ofRequest else ofPart
    }
}
