package redwingcross.version.placement

import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Times without reports after which a member counts as lost, is replaced or is abandoned with its group. */
data class MemberTimeouts(
    /** The member counts as lost and its group as suspended; three missed reports at one per second. */
    val lostAfter: Duration = 3.seconds,
    /** A spare starts to load weights. Later than [lostAfter], so that a short pause of a member causes no load. */
    val prepareAfter: Duration = 6.seconds,
    /** A group that no spare can repair can be removed. Longer, because all its loaded weights are lost then. */
    val dissolveAfter: Duration = 30.seconds,
    /** Interval of report requests. */
    val reportInterval: Duration = 1.seconds,
)

/**
 * The latest report of one VM and the requests that failed since. [misses] counts failed requests since the last
 * report: after a pause of this process the clock has advanced although no request failed, which must not cause groups
 * to be rebuilt.
 */
data class MemberView(
    val report: MemberReport? = null,
    /** When [report] was requested; a lower bound of the time at which the engine made it. */
    val requestedAt: Duration? = null,
    /** Time of the first failed request since the last report; null if none failed. */
    val missingSince: Duration? = null,
    val misses: Int = 0,
) {
    /** Applies a report, unless a later one was applied already. */
    fun applyReport(report: MemberReport, requestedAt: Duration) =
        if (this.requestedAt != null && requestedAt < this.requestedAt) this else MemberView(report, requestedAt)

    /** Records a failed request, unless a report that was requested later has been applied. */
    fun applyMiss(requestedAt: Duration) = when {
        this.requestedAt != null && requestedAt < this.requestedAt -> this
        else -> copy(missingSince = missingSince ?: requestedAt, misses = misses + 1)
    }

    /** Whether reports have been missing for [time], both by the clock and by the number of failed requests. */
    fun isMissingFor(time: Duration, now: Duration, times: MemberTimeouts): Boolean =
        missingSince != null && now - missingSince >= time && misses >= time / times.reportInterval
}

/** The view of each VM of a zone. */
typealias MemberViews = Map<Vm, MemberView>

/** Whether the latest report is current and states that the VM is ready in [assignment]. */
fun MemberView?.isReadyAs(assignment: Assignment, now: Duration, times: MemberTimeouts): Boolean {
    val report = this?.report ?: return false
    return report.ready && report.assignment == assignment && isCurrent(now, times)
}

/** Whether the latest report is younger than the time after which a member counts as lost. */
fun MemberView.isCurrent(now: Duration, times: MemberTimeouts): Boolean =
    requestedAt != null && now - requestedAt < times.lostAfter
