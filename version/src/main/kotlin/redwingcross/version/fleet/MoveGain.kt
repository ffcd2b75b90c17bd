package redwingcross.version.fleet

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.times

/** What a group move takes and yields. */
data class MoveCost(
    /** Time in which weights are staged beside all other work. */
    val preparation: Duration,
    /** Time in which the engines serve nobody. */
    val change: Duration,
    /** Slots of the groups that are closed. */
    val closedSlots: Int,
    /** Slots of the groups that are formed. */
    val formedSlots: Int,
)

/** Figures of the comparison of a move's gain and loss, in slot seconds. */
data class MoveGain(val cost: MoveCost, val gained: Double, val lost: Double) {
    val pays: Boolean get() = gained > lost
}

/** The arithmetic of group moves. It handles surges of any length by the time that they are expected to last on. */
internal object MoveArithmetic {
    /**
     * Cost of forming [formed] groups of [receiver] from [closed] groups, which are closed one after the other, with
     * [missing] hosts on which the weights are not staged. Loads start at the store's rate, and no more run at a time
     * than run at full speed.
     */
    fun cost(
        pool: ModelPool,
        receiver: ModelSpec,
        closed: Int,
        formed: Int,
        missing: Int,
        settings: DemandSettings,
    ): MoveCost {
        val parallel = pool.concurrentLoads.coerceAtLeast(1)
        val rounds = (missing + parallel - 1) / parallel
        val starts = if (pool.loadsPerSecond > 0) minOf(missing, parallel) / pool.loadsPerSecond else 0.0
        return MoveCost(
            preparation = rounds * receiver.load + starts * ONE_SECOND,
            change = closed * (settings.drain + settings.leave) + receiver.warm + pool.reportLag + pool.openingTime,
            closedSlots = closed * pool.slots,
            formedSlots = formed * pool.slots,
        )
    }

    /**
     * Compares what a move yields within [remaining], the expected rest of the surge, with what it costs: the closed
     * groups serve nobody during the change and once more when the engines change back. Slots beyond [lacking] have no
     * value. Spares serve nobody before the move, so that they lose nothing.
     */
    fun gain(cost: MoveCost, lacking: Double, remaining: Duration): MoveGain {
        val served = (remaining - cost.preparation - cost.change).coerceAtLeast(Duration.ZERO)
        return MoveGain(
            cost,
            gained = minOf(cost.formedSlots.toDouble(), lacking) * served.toDouble(DurationUnit.SECONDS),
            lost = BOTH_WAYS * cost.closedSlots * cost.change.toDouble(DurationUnit.SECONDS),
        )
    }

    private const val BOTH_WAYS = 2.0
    private val ONE_SECOND = Duration.parse("1s")
}
