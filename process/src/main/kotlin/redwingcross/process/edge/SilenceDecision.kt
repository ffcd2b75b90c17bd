package redwingcross.process.edge

import redwingcross.request.GroupId
import redwingcross.request.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request of this gateway that is at a group. */
data class GroupRequest(
    val group: GroupId,
    /** Whether the group has sent an event of its answer. */
    val hasEvents: Boolean,
    /** When the group last sent an event, or when the request was sent to it. */
    val progressAt: Duration,
    /** Time without a first event after which the request counts as silent. */
    val firstEventLimit: Duration,
)

/** What a gateway observed of a group; [streams] is 0 if a request there has received an event again. */
data class SilenceReport(val group: GroupId, val streams: Int, val silentFor: Duration)

/** The groups that a gateway has reported as silent, with the time of the last report. */
data class SilenceState(val reportedAt: Map<GroupId, Duration> = emptyMap())

/**
 * Decides which groups a gateway reports as silent.
 *
 * Answers the loss of an engine in a group that goes on accepting requests: its streams all stop at once, and a gateway
 * with one or two of them can't tell this from a group that reads long prompts. It reports what it sees, and the
 * controller adds the reports up. A group counts as silent only if all of this gateway's streams there are.
 */
object SilenceDecision {
    /** Reports the groups that are silent at [now] and whose report is due. */
    fun check(
        state: SilenceState,
        requests: List<GroupRequest>,
        now: Duration,
    ): Transition<SilenceState, SilenceReport> {
        val byGroup = requests.groupBy { it.group }
        val reportedAt = state.reportedAt.filterKeys { it in byGroup }.toMutableMap()
        val reports = byGroup.mapNotNull { (group, members) -> report(group, members, now) }
            .filter { report -> reportedAt[report.group]?.let { now - it < REPEAT_INTERVAL } != true }
        reports.forEach { reportedAt[it.group] = now }
        return Transition(SilenceState(reportedAt), reports)
    }

    /** Reports that [group] has sent an event, if its silence was reported. */
    fun progressed(state: SilenceState, group: GroupId): Transition<SilenceState, SilenceReport> =
        if (group !in state.reportedAt) {
            Transition(state)
        } else {
            Transition(SilenceState(state.reportedAt - group), listOf(SilenceReport(group, 0, Duration.ZERO)))
        }

    /** Earliest time at which [check] can have something to report; null without requests. */
    fun nextCheck(state: SilenceState, requests: List<GroupRequest>): Duration? =
        requests.groupBy { it.group }.minOfOrNull { (group, members) ->
            state.reportedAt[group]?.let { it + REPEAT_INTERVAL } ?: silentAt(members)
        }

    private fun silentAt(members: List<GroupRequest>): Duration = lastEventAt(members)?.let { it + SILENCE_LIMIT }
        ?: members.minOf { it.progressAt + it.firstEventLimit }

    private fun lastEventAt(members: List<GroupRequest>): Duration? =
        members.filter { it.hasEvents }.maxOfOrNull { it.progressAt }

    private fun report(group: GroupId, members: List<GroupRequest>, now: Duration): SilenceReport? {
        if (now < silentAt(members)) return null
        val overdue = members.filter { !it.hasEvents && now - it.progressAt >= it.firstEventLimit }
        val since = lastEventAt(members) ?: overdue.minOf { it.progressAt }
        return SilenceReport(group, members.count { it.hasEvents } + overdue.size, now - since)
    }

    /**
     * A working group sends events each 20 to 60 ms, and up to about 150 ms apart while it reads several long prompts;
     * callers count a pause of 200 to 300 ms as late.
     */
    val SILENCE_LIMIT: Duration = 160.milliseconds

    /** Reports are datagrams and may be lost. */
    val REPEAT_INTERVAL: Duration = 100.milliseconds
}
