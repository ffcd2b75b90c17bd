package redwingcross.process.edge

import redwingcross.request.GroupId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** The marked groups as announced by the active controller. */
data class StalledAnnouncement(val epoch: Long, val sequence: Long, val stalled: Set<GroupId>)

/**
 * The groups that a gateway sends nothing new, unless all groups of a model are marked. Answers a controller that is
 * paused, gone or wrong: a mark ends by itself, and a group that sends this gateway an event isn't marked for it.
 */
data class StallMarks(
    val epoch: Long = 0,
    val sequence: Long = 0,
    /** End of the validity of each mark on the process clock. */
    val until: Map<GroupId, Duration> = emptyMap(),
) {
    /** The marks after [announcement]; one that is older than the last is ignored. */
    fun after(announcement: StalledAnnouncement, now: Duration): StallMarks {
        val outdated = announcement.epoch < epoch || announcement.epoch == epoch && announcement.sequence <= sequence
        if (outdated) return this
        return StallMarks(
            announcement.epoch,
            announcement.sequence,
            announcement.stalled.associateWith { now + LIFETIME },
        )
    }

    /** The marks after [group] has sent this gateway an event. */
    fun progressed(group: GroupId): StallMarks = if (group in until) copy(until = until - group) else this

    /** Groups whose mark is valid at [now]. */
    fun at(now: Duration): Set<GroupId> = if (until.isEmpty()) emptySet() else until.filterValues { now < it }.keys

    companion object {
        /** Three times the interval of the announcements, so that two in a row may be lost. */
        val LIFETIME: Duration = 450.milliseconds
    }
}

/** A request that could leave a marked group. */
data class MovableRequest(
    /** Whether the group has sent an event of its answer. */
    val hasEvents: Boolean,
    /** Time since the last event, or since the request was sent to the group. */
    val silentFor: Duration,
)

/**
 * Decides which requests leave a marked group, and how fast. Answers the requests that were sent to a group shortly
 * before or after it lost an engine: they still have time to be answered elsewhere, and all gateways move theirs at the
 * same moment.
 */
object MoveDecision {
    /** Whether [request] should leave a marked group now. */
    fun shouldMove(request: MovableRequest): Boolean = !request.hasEvents || request.silentFor >= CALLER_PAUSE_LIMIT

    /**
     * Time over which the gateways spread the moves of the [atGroup] requests of all of them, at random, if the other
     * groups of the model have [free] places. With few free places they get requests no faster than places come free.
     */
    fun spread(atGroup: Int, free: Int): Duration {
        val shortage = maxOf(1.0, atGroup * PLACES_PER_MOVE / free.coerceAtLeast(1))
        return (SPREAD_PER_REQUEST * atGroup * shortage).coerceAtMost(LONGEST_SPREAD)
    }

    /** Callers count a longer pause as late, so waiting for the group gains nothing any more. */
    private val CALLER_PAUSE_LIMIT = 300.milliseconds

    /** Twenty requests of a group are then moved within 30 ms, a few to each of the other groups. */
    private val SPREAD_PER_REQUEST = 1.5.milliseconds

    /** New requests take places at the same time, and what is known of free places is up to a second old. */
    private const val PLACES_PER_MOVE = 2.0

    /** Later, the mark is repeated or has ended. */
    private val LONGEST_SPREAD = 300.milliseconds
}
