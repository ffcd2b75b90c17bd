package redwingcross.process.edge

import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.forward.OfferResult
import redwingcross.version.forwarding.WatchedRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Finds groups whose streams make no progress, reports them to the controller and moves their streams in the end. */
class StreamProgress(
    private val clock: MonotonicClock,
    private val reportSuspectedGroup: (GroupId) -> Unit,
    private val log: LogEvent,
) {
    private val lastProgressAt = HashMap<GroupId, Duration>()
    private val stalledSince = HashMap<GroupId, Duration>()
    private val suspectedAt = HashMap<GroupId, Duration>()

    /** Groups that currently make no progress. */
    val stalledGroups: Set<GroupId> get() = stalledSince.keys

    /** Looks at the requests in flight; called several times a second. */
    fun check(tasks: Collection<WatchedRequest>) {
        val now = clock.now()
        val byGroup = tasks.filter { it.group != null }.groupBy { it.group!! }
        lastProgressAt.keys.retainAll(byGroup.keys)
        stalledSince.keys.retainAll(byGroup.keys)
        suspectedAt.keys.retainAll(byGroup.keys)
        for ((group, members) in byGroup) {
            val latestProgress = members.filter { it.hasProgressed }.maxOfOrNull { it.progressAt }
            val last = maxOf(lastProgressAt[group] ?: Duration.ZERO, latestProgress ?: Duration.ZERO)
            lastProgressAt[group] = last
            val stalledFor = members.maxOf { now - maxOf(it.progressAt, last) - it.firstEventGrace() }
            handleStall(group, members, stalledFor, now)
        }
    }

    /** A request without events may wait in a busy group's queue, so its silence says less than that of a stream. */
    private fun WatchedRequest.firstEventGrace() = if (hasProgressed) Duration.ZERO else FIRST_EVENT_GRACE

    private fun handleStall(group: GroupId, members: List<WatchedRequest>, stalledFor: Duration, now: Duration) {
        if (stalledFor < AVOID_AFTER) {
            stalledSince.remove(group)
            return
        }
        val since = stalledSince.getOrPut(group) { now }
        if (stalledFor < SUSPECT_AFTER) return
        if (suspectedAt[group]?.let { now - it < SUSPICION_INTERVAL } != true) {
            suspectedAt[group] = now
            log("group_suspected", arrayOf("group" to group, "stalled" to stalledFor, "streams" to members.size))
            reportSuspectedGroup(group)
        }
        if (now - since <= MOVE_AFTER) return
        // A plain answer has no events, so its silence doesn't tell that it would come sooner elsewhere.
        members.filter { it.isStream }.forEach { it.moveSilent(OfferResult.Stalled, "stalled") }
    }

    private companion object {
        /** A group without progress for this long gets new requests only if no other group is available. */
        val AVOID_AFTER = 250.milliseconds

        /**
         * A group without progress for this long is reported to the controller. Pauses of a working group are shorter,
         * except while it reads many prompts at once.
         */
        val SUSPECT_AFTER = 350.milliseconds

        /** Streams of a suspected group may move after this time even if the controller reports no lost member. */
        val MOVE_AFTER = 1.2.seconds

        /** Added to the limits for a request that has no event yet. */
        val FIRST_EVENT_GRACE = 250.milliseconds

        /** The controller needs this long to find out whether a suspected group has lost a member. */
        val SUSPICION_INTERVAL = 400.milliseconds
    }
}
