package redwingcross.process.edge

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Inputs that decide from where a process learns which back ends there are. */
data class ServerSourceView(
    /** Number of processes that may be running, this one included. */
    val fleetSize: Int,
    /** Position of this process in the order in which processes take over the controller lease. */
    val rank: Int,
    val isActiveController: Boolean,
    /** Age of the oldest announcement among the configured services; infinite if one was never announced. */
    val announcementAge: Duration,
    /** Maximum time from the report that a back end is draining until no new request is sent to it. */
    val drain: Duration,
)

/**
 * Decides whether a process watches the platform's list of back ends or uses the announced routes. Answers the load
 * that a large fleet puts on the store: a list of hundreds of engines changes all the time, and each process that
 * watches it pays for calls and for the decoding of entries that no gateway needs.
 *
 * The active controller and the processes next in line for its role watch the list, so that a takeover does not begin
 * with reading it, and so that they notice from each other's heartbeats when a watch is silently dead.
 */
object ServerSourceDecision {
    /** Whether announced routes are used; [current] is the result of the last decision. */
    fun usesAnnouncements(current: Boolean, view: ServerSourceView): Boolean {
        if (view.fleetSize <= LARGEST_WATCHING_FLEET || view.isActiveController || view.rank < STANDBYS) return false
        val maximumAge =
            minOf(MAXIMUM_AGE, view.drain * DRAIN_FRACTION) + SPREAD * minOf(view.rank, MAXIMUM_SPREAD_RANK)
        return view.announcementAge < if (current) maximumAge else MAXIMUM_AGE_TO_BEGIN
    }

    /** In a fleet of at most this size every process watches the list. */
    const val LARGEST_WATCHING_FLEET = 12

    /** Number of processes next in line for the controller role that watch the list. */
    const val STANDBYS = 3

    /** Announcements come twice a second; a takeover of the controller role after a crash takes less than 2 s. */
    private val MAXIMUM_AGE = 2600.milliseconds
    private val MAXIMUM_AGE_TO_BEGIN = 700.milliseconds

    /** Leaves the rest of the drain time for reading the list from the store. */
    private const val DRAIN_FRACTION = 0.65

    /** Spreads the reads of the list, so that a fleet without a controller does not read it at one moment. */
    private val SPREAD = 3.milliseconds
    private const val MAXIMUM_SPREAD_RANK = 100
}
