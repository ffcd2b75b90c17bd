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

/** Simulates a model engine in virtual time. */
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

    /** Time at which the engine last stopped being ready in each assignment; bounds how old a correct status can be. */
    private val leftAt = HashMap<Assignment, Duration>()

    /** Before this time the engine responds to no request, and orders to it fail. */
    var silentUntil = Duration.ZERO

    val isSilent get() = time.now < silentUntil

    val isLoading get() = order != null && time.now < readyAt

    fun isReadyAs(assignment: Assignment) = order?.assignment == assignment && time.now >= readyAt

    /** Whether the engine is ready in [assignment], or was [within] the given time before now. */
    fun wasReadyAs(assignment: Assignment, within: Duration) =
        isReadyAs(assignment) || leftAt[assignment]?.let { time.now - it <= within } == true

    fun report() =
        MemberReport(BootId("$vm-$boot"), order?.assignment, order != null && time.now >= readyAt, time.now - readyAt)

    fun accept(next: MemberOrder): OrderResult {
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
