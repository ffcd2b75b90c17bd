package redwingcross.bench.placement

import redwingcross.version.bundle.VmEntry
import redwingcross.version.placement.Assignment
import redwingcross.version.placement.BootId
import redwingcross.version.placement.MemberReport
import redwingcross.version.placement.Shard
import kotlin.time.Duration

/** A VM and its engine in virtual time. */
internal class BenchVm(val entry: VmEntry, private val loadTime: Duration) {
    private var boot = 1
    private var assignment: Assignment? = null
    private var shard: Shard? = null
    private var readyAt = Duration.ZERO
    private var downUntil = Duration.ZERO
    private var unreachableUntil = Duration.ZERO
    private var stopAt = Duration.INFINITE
    private var stopLength = Duration.ZERO

    fun isUp(now: Duration) = now >= downUntil && now >= unreachableUntil

    /** Whether a planned stop is announced and has not been carried out. */
    val isStopAnnounced get() = stopAt < Duration.INFINITE

    fun isLoading(now: Duration) = assignment != null && now >= downUntil && now < readyAt

    fun isReadyAs(wanted: Assignment, now: Duration) = isUp(now) && assignment == wanted && now >= readyAt

    fun report(now: Duration) =
        MemberReport(BootId("${entry.vm}-$boot"), assignment, assignment != null && now >= readyAt, now - readyAt)

    /** Assigns [next]; reloads the weights if the shard changes or [keepWeights] is false. */
    fun order(next: Assignment, now: Duration, keepWeights: Boolean = true) {
        if (!keepWeights || shard != next.shard) {
            shard = next.shard
            readyAt = now + loadTime
        }
        assignment = next
    }

    fun crash(now: Duration, length: Duration) {
        downUntil = maxOf(downUntil, now + length)
        assignment = null
        shard = null
        boot += 1
    }

    fun makeUnreachable(now: Duration, length: Duration) {
        unreachableUntil = maxOf(unreachableUntil, now + length)
    }

    fun announceStop(at: Duration, length: Duration) {
        stopAt = at
        stopLength = length
    }

    /** Stops the VM if an announced stop is due. */
    fun applyDueStop(now: Duration) {
        if (now >= stopAt) {
            crash(now, stopLength)
            stopAt = Duration.INFINITE
        }
    }
}
