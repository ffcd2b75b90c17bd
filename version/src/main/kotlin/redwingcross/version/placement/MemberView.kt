package redwingcross.version.placement

import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Times after which missing reports of a member have consequences. */
data class MemberTimeouts(
    /** The member counts as lost and its group as suspended: three reports missed at one a second. */
    val lostAfter: Duration = 3.seconds,
    /** A spare starts to load. Later than [lostAfter], so that a short pause of a member costs no load. */
    val prepareAfter: Duration = 6.seconds,
    /** A group that no spare can repair may give up its VMs; longer, because all its weights are lost then. */
    val dissolveAfter: Duration = 30.seconds,
    /** Interval of the reports. */
    val reportInterval: Duration = 1.seconds,
)

/**
 * What is known about one VM. [misses] counts attempts without an answer since the last report: after a pause of this
 * process the clock jumps, but no report was missed, and nothing may be rebuilt for that.
 */
data class MemberView(
    val report: MemberReport? = null,
    /** When the answered report was asked for; a lower bound of when the engine made it. */
    val requestedAt: Duration? = null,
    val missingSince: Duration? = null,
    val misses: Int = 0,
) {
    fun heard(report: MemberReport, requestedAt: Duration) =
        if (this.requestedAt != null && requestedAt < this.requestedAt) this else MemberView(report, requestedAt)

    fun missed(requestedAt: Duration) = when {
        this.requestedAt != null && requestedAt < this.requestedAt -> this
        else -> copy(missingSince = missingSince ?: requestedAt, misses = misses + 1)
    }

    /** Whether reports have been missing for [time], by the clock and by their number. */
    fun isMissingFor(time: Duration, now: Duration, times: MemberTimeouts): Boolean =
        missingSince != null && now - missingSince >= time && misses >= time / times.reportInterval
}

/** Views of the VMs of a zone. */
typealias MemberViews = Map<Vm, MemberView>

/** Whether the newest report is current and says that [assignment] is carried out. */
fun MemberView?.isReadyAs(assignment: Assignment, now: Duration, times: MemberTimeouts): Boolean {
    val report = this?.report ?: return false
    return report.ready && report.assignment == assignment && isCurrent(now, times)
}

/** Whether the newest report is younger than the time after which a member counts as lost. */
fun MemberView.isCurrent(now: Duration, times: MemberTimeouts): Boolean =
    requestedAt != null && now - requestedAt < times.lostAfter
