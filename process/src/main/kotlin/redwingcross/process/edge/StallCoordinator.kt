package redwingcross.process.edge

import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.version.forwarding.CancelTimer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Callbacks of [StallCoordinator]. */
class StallCoordinatorDependencies(
    /** Epoch of the lease that this process holds as the active controller; null if it isn't the controller. */
    val leaseEpoch: () -> Long?,
    /** Requests of all gateways in flight at a group; null if no such group serves. */
    val inFlight: (GroupId) -> Int?,
    /** Asks the members of a group whether they still run. */
    val askMembers: (GroupId) -> Unit,
    /** Sends the marked groups to every process, this one included. */
    val announce: (epoch: Long, sequence: Long, stalled: Set<GroupId>, resumed: Set<GroupId>) -> Unit,
    val runLater: (Duration, () -> Unit) -> CancelTimer,
    val log: LogEvent,
)

/**
 * Owns the evidence of stalled groups on the active controller and announces which groups are marked: on a change, and
 * repeatedly while a group is marked. Does nothing, and has no timer, while there is no evidence.
 */
class StallCoordinator(private val dependencies: StallCoordinatorDependencies, private val clock: MonotonicClock) {
    private var state = StallState()
    private var epoch: Long? = null
    private var sequence = 0L
    private var resumed = emptySet<GroupId>()
    private var isAnnouncementScheduled = false
    private var isRepeatScheduled = false
    private var ignoredSinceLog = 0
    private var ignoredLoggedAt = -Duration.INFINITE

    /** Number of reports that were ignored because they can't be true. */
    var ignored = 0L
        private set

    /** Groups that are marked at present. */
    val marked: Set<GroupId> get() = state.marks.keys

    /** Applies the report of [gateway] that its streams at a group are silent or progress again. */
    fun received(gateway: ProcessName, report: SilenceReport) {
        if (!isController()) return
        step(
            if (report.streams == 0) {
                StallMessage.Progressed(report.group)
            } else {
                val inFlight = dependencies.inFlight(report.group)
                StallMessage.Silent(gateway, report.group, report.streams, report.silentFor, inFlight)
            },
        )
    }

    /** A process that becomes the controller again starts without the evidence and the marks of its former time. */
    private fun isController(): Boolean {
        val current = dependencies.leaseEpoch()
        if (current != epoch) {
            epoch = current
            state = StallState()
            resumed = emptySet()
        }
        return current != null
    }

    private fun step(message: StallMessage) {
        val transition = StallDecision.step(state, message, clock.now())
        state = transition.state
        transition.effects.forEach(::perform)
    }

    private fun perform(effect: StallEffect) {
        when (effect) {
            is StallEffect.AskMembers -> dependencies.askMembers(effect.group)
            is StallEffect.Ignored -> ignore(effect)
            is StallEffect.Marked -> {
                dependencies.log(
                    "group_stalled",
                    arrayOf(
                        "group" to effect.group,
                        "silent" to effect.silentFor,
                        "streams" to effect.streams,
                        "running" to effect.inFlight,
                        "gateways" to effect.gateways,
                    ),
                )
                announceSoon()
            }
            is StallEffect.Withdrawn -> {
                resumed = resumed + effect.group
                val outcome = effect.reason.name.lowercase()
                dependencies.log(
                    "group_stall_ended",
                    arrayOf("group" to effect.group, "after" to effect.after, "outcome" to outcome),
                )
                announceSoon()
            }
        }
    }

    /** Reports of a group that has just been confirmed lost are still on their way, so the lines are limited. */
    private fun ignore(effect: StallEffect.Ignored) {
        ignored++
        ignoredSinceLog++
        val now = clock.now()
        if (now - ignoredLoggedAt < IGNORED_LOG_INTERVAL) return
        dependencies.log(
            "stall_evidence_ignored",
            arrayOf("group" to effect.group, "outcome" to effect.reason, "count" to ignoredSinceLog),
        )
        ignoredLoggedAt = now
        ignoredSinceLog = 0
    }

    /** Sends one message for all changes of a short time: a lost zone stalls all its groups at once. */
    private fun announceSoon() {
        if (isAnnouncementScheduled) return
        isAnnouncementScheduled = true
        dependencies.runLater(ANNOUNCEMENT_DELAY) {
            isAnnouncementScheduled = false
            if (isController()) announce()
        }
    }

    private fun announce() {
        val current = epoch ?: return
        dependencies.announce(current, ++sequence, state.marks.keys, resumed - state.marks.keys)
        resumed = emptySet()
        if (state.marks.isEmpty() || isRepeatScheduled) return
        isRepeatScheduled = true
        dependencies.runLater(REPEAT_INTERVAL, ::repeat)
    }

    private fun repeat() {
        isRepeatScheduled = false
        if (!isController()) return
        step(StallMessage.Tick)
        if (state.marks.isNotEmpty()) announce()
    }

    private companion object {
        val IGNORED_LOG_INTERVAL = 1.seconds
        val ANNOUNCEMENT_DELAY = 3.milliseconds

        /** A gateway that missed a message learns of the mark this much later, see [StallMarks.LIFETIME]. */
        val REPEAT_INTERVAL = 150.milliseconds
    }
}
