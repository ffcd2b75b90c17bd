package redwingcross.version.simulation

import redwingcross.request.Vm
import redwingcross.version.placement.Assignment
import redwingcross.version.placement.BootId
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.placement.MemberOrder
import redwingcross.version.placement.MemberReport
import redwingcross.version.placement.OrderResult
import redwingcross.version.placement.Shard
import kotlin.time.Duration

/** A model engine under virtual time. */
internal class SimulatedEngine(
    val vm: Vm,
    val domain: String,
    val checksFencing: Boolean,
    private val time: VirtualTime,
    private val loadTime: Duration,
) {
    private var boot = 1
    var order: MemberOrder? = null
        private set
    private var shard: Shard? = null
    private var readyAt = Duration.ZERO
    private var highest = LeaseEpoch(0)

    /** When each assignment was last left, to judge how old a status may be. */
    private val leftAt = HashMap<Assignment, Duration>()

    /** Until then the engine answers nobody; orders wait. */
    var silentUntil = Duration.ZERO

    val isSilent get() = time.now < silentUntil

    val isLoading get() = order != null && time.now < readyAt

    fun isReadyAs(assignment: Assignment) = order?.assignment == assignment && time.now >= readyAt

    /** Whether the engine is, or was a moment ago, ready in [assignment]. */
    fun wasReadyAs(assignment: Assignment, within: Duration) =
        isReadyAs(assignment) || leftAt[assignment]?.let { time.now - it <= within } == true

    fun report() =
        MemberReport(BootId("$vm-$boot"), order?.assignment, order != null && time.now >= readyAt, time.now - readyAt)

    fun take(next: MemberOrder): OrderResult {
        if (checksFencing && next.epoch < highest) return OrderResult.Fenced(highest)
        highest = maxOf(highest, next.epoch)
        leave()
        if (shard != next.assignment.shard) {
            shard = next.assignment.shard
            readyAt = time.now + loadTime
        }
        order = next
        return OrderResult.Accepted
    }

    fun crash() {
        leave()
        boot += 1
        order = null
        shard = null
        highest = LeaseEpoch(0)
    }

    private fun leave() = order?.let { if (time.now >= readyAt) leftAt[it.assignment] = time.now }
}
