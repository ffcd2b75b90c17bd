package redwingcross.process.edge

import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.RequestIdentity
import redwingcross.request.forward.OfferResult
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.CrashSignals
import redwingcross.version.forwarding.MovingAverage
import redwingcross.version.forwarding.WatchedRequest
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callbacks of [StallWatch]. */
class StallWatchDependencies<Task : WatchedRequest>(
    /** Requests of this gateway that have not ended. */
    val tasks: () -> Collection<Task>,
    /** Reports to the active controller. */
    val report: (SilenceReport) -> Unit,
    /** Requests of all gateways in flight at the back end of a request. */
    val inFlight: (ChosenBackend) -> Int,
    /** Free places at the groups other than those in the set that can run the request. */
    val freePlaces: (Task, Set<GroupId>) -> Int,
    val crashes: CrashSignals,
    val runLater: (Duration, () -> Unit) -> CancelTimer,
)

/**
 * Watches the silence of the groups that have requests of this gateway, reports it to the controller, and moves
 * requests away from the groups that the controller has marked. Has no timer while no request is at a group.
 */
class StallWatch<Task : WatchedRequest>(
    private val dependencies: StallWatchDependencies<Task>,
    private val clock: MonotonicClock,
    private val random: Random,
) {
    private var silence = SilenceState()
    private var marks = StallMarks()
    private var isCheckScheduled = false
    private val firstEventTimes = HashMap<String, MovingAverage>()
    private val contradictedAt = HashMap<GroupId, Duration>()
    private val moved = ArrayDeque<MovedRequest>()

    /** End of the time over which the first moves from each marked group are spread. */
    private val movesEndAt = HashMap<GroupId, Duration>()

    private class MovedRequest(val backend: ChosenBackend, val request: RequestIdentity, val at: Duration)

    /** Groups that get no new requests, unless there is no other group. */
    fun marked(): Set<GroupId> = marks.at(clock.now())

    /** Called when a request was sent to [backend]. */
    fun requestSent(backend: ChosenBackend): Unit = checkLater(backend)

    private fun checkLater(backend: ChosenBackend) {
        if (backend.group == null || isCheckScheduled) return
        scheduleCheck(SilenceDecision.SILENCE_LIMIT)
    }

    /** Called for each event of a stream, with the time since the one before it or since the request was sent. */
    fun progressed(backend: ChosenBackend, pause: Duration, isFirst: Boolean) {
        // The checks end while no caller of a request reads, and go on with the first event after that.
        checkLater(backend)
        if (isFirst) firstEventTimes.getOrPut(backend.kind, ::MovingAverage).record(pause)
        if (silence.reportedAt.isEmpty() && marks.until.isEmpty()) return
        val group = backend.group ?: return
        val transition = SilenceDecision.progressed(silence, group)
        silence = transition.state
        transition.effects.forEach(dependencies.report)
        if (group in marks.until && transition.effects.isEmpty()) contradict(group)
        marks = marks.progressed(group)
    }

    private fun contradict(group: GroupId) {
        val now = clock.now()
        if (contradictedAt[group]?.let { now - it < SilenceDecision.REPEAT_INTERVAL } == true) return
        contradictedAt.values.removeIf { now - it >= SilenceDecision.REPEAT_INTERVAL }
        contradictedAt[group] = now
        dependencies.report(SilenceReport(group, 0, Duration.ZERO))
    }

    /** Applies the marks that the active controller announced. */
    fun announced(announcement: StalledAnnouncement) {
        val now = clock.now()
        val before = marks.at(now)
        marks = marks.after(announcement, now)
        val added = marks.at(now) - before
        if (added.isEmpty()) return
        for ((group, tasks) in dependencies.tasks().groupBy { it.group }) {
            if (group == null || group !in added) continue
            val lastEventAt = tasks.filter { it.hasProgressed }.maxOfOrNull { it.progressAt }
            if (lastEventAt != null && now - lastEventAt < SilenceDecision.SILENCE_LIMIT) {
                contradict(group)
                marks = marks.progressed(group)
            } else {
                scheduleMoves(group, tasks)
            }
        }
    }

    private fun scheduleMoves(group: GroupId, tasks: List<Task>) {
        val backend = tasks.first().backend ?: return
        val free = dependencies.freePlaces(tasks.first(), marks.until.keys)
        val spread = MoveDecision.spread(dependencies.inFlight(backend), free)
        movesEndAt[group] = clock.now() + spread
        for (task in tasks) {
            dependencies.runLater(spread * random.nextDouble()) { if (task.group == group) move(task) }
        }
    }

    private fun move(task: Task) {
        val now = clock.now()
        val backend = task.backend ?: return
        if (backend.group !in marks.at(now)) return
        val request = MovableRequest(task.hasProgressed, now - task.progressAt)
        if (!MoveDecision.shouldMove(request)) return
        if (request.hasEvents) return task.moveSilent(OfferResult.Stalled, "group_stalled")
        task.moveSilent(OfferResult.GroupLost, "group_stalled") {
            moved.removeAll { now - it.at >= MOVED_LIFETIME }
            moved += MovedRequest(backend, task.identity, now)
        }
    }

    /** Called when groups have lost a member, before this is reported to the attribution of crashes. */
    fun groupsLost(groups: Set<GroupId>) {
        val now = clock.now()
        moved.removeAll { now - it.at >= MOVED_LIFETIME }
        val (lost, others) = moved.partition { it.backend.group in groups }
        if (lost.isEmpty()) return
        moved.clear()
        moved += others
        lost.forEach { dependencies.crashes.connectionLost(it.backend, it.request, false) }
    }

    private fun scheduleCheck(delay: Duration) {
        isCheckScheduled = true
        val dueAt = clock.now() + delay
        dependencies.runLater(delay) {
            isCheckScheduled = false
            check(dueAt)
        }
    }

    private fun check(dueAt: Duration) {
        val now = clock.now()
        // After a pause of this process, the events that arrived meanwhile are read first.
        if (now - dueAt >= LONGEST_DELAY) return scheduleCheck(CHECK_AGAIN_AFTER)
        val tasks = dependencies.tasks().filter { it.group != null }
        // A plain answer has no events whose pauses tell anything.
        val requests = tasks.filter { it.isStream }.map {
            GroupRequest(it.group!!, it.hasProgressed, it.progressAt, firstEventLimit(it.backend?.kind))
        }
        val transition = SilenceDecision.check(silence, requests, now)
        silence = transition.state
        transition.effects.forEach(dependencies.report)
        val marked = marks.at(now)
        if (marked.isNotEmpty()) moveRemaining(tasks, marked, now)
        val next = SilenceDecision.nextCheck(silence, requests) ?: return
        scheduleCheck((next - now).coerceAtLeast(SHORTEST_CHECK_INTERVAL))
    }

    /** Moves the requests that could not be moved when their group was marked. */
    private fun moveRemaining(tasks: List<Task>, marked: Set<GroupId>, now: Duration) {
        movesEndAt.keys.retainAll(marked)
        tasks.filter { it.group in marked && now >= (movesEndAt[it.group] ?: now) }.forEach(::move)
    }

    private fun firstEventLimit(kind: String?): Duration {
        val usual = firstEventTimes[kind]?.mean ?: return LONGEST_FIRST_EVENT
        return (usual * USUAL_FIRST_EVENTS).coerceIn(SHORTEST_FIRST_EVENT, LONGEST_FIRST_EVENT)
    }

    private companion object {
        /** A check that ran this late shows that this process was paused. */
        val LONGEST_DELAY = 50.milliseconds
        val CHECK_AGAIN_AFTER = 20.milliseconds

        /** Bounds the processor time for many groups whose checks are due one after the other. */
        val SHORTEST_CHECK_INTERVAL = 20.milliseconds

        /** Requests wait in the queue of a busy group, so the first event may take longer than usual. */
        const val USUAL_FIRST_EVENTS = 2.5
        val SHORTEST_FIRST_EVENT = 300.milliseconds
        val LONGEST_FIRST_EVENT = 800.milliseconds

        /** A group that was marked is confirmed as lost within this time, or not at all. */
        val MOVED_LIFETIME = 3.seconds
    }
}
