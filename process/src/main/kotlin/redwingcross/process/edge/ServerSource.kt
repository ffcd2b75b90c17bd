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
    /** What this process knows of the fleet while it starts; null once it has started. */
    val start: StartView? = null,
)

/** What a process knows of the fleet while it has neither announced routes nor the list, or not heard all others. */
data class StartView(
    /** Time since the start of the process. */
    val age: Duration,
    /** Whether the whole system starts for the first time, so that the processes don't know each other yet. */
    val isFirstStart: Boolean,
    /** Whether the registry was read. */
    val isRegistryRead: Boolean,
    /** Whether more than half of the known processes were heard, so that the rank is known. */
    val isMajorityHeard: Boolean,
) {
    /** Whether processes that started together may not have registered yet. */
    val isSettling: Boolean get() = isFirstStart && age < FIRST_START_SETTLING

    private companion object {
        val FIRST_START_SETTLING = 1500.milliseconds
    }
}

/**
 * Decides whether a process watches the platform's list of back ends or uses the announced routes. Answers the load
 * that a large fleet puts on the store: a list of hundreds of engines changes all the time, and each process that
 * watches it pays for calls and for the decoding of entries that no gateway needs.
 *
 * The active controller and the processes next in line for its role watch the list, so that a takeover does not begin
 * with reading it, and so that they notice from each other's heartbeats when a watch is silently dead.
 *
 * A process that starts waits for announcements before it reads the list: reading hundreds of entries takes a small VM
 * longer than to ask the active controller for its routes, and many processes may start at the same moment.
 */
object ServerSourceDecision {
    /** Whether announced routes are used; [current] is the result of the last decision. */
    fun usesAnnouncements(current: Boolean, view: ServerSourceView): Boolean {
        if (view.start != null && !view.isActiveController) return awaitsAnnouncements(view, view.start)
        if (view.fleetSize <= LARGEST_WATCHING_FLEET || view.isActiveController || view.rank < STANDBYS) return false
        val maximumAge =
            minOf(MAXIMUM_AGE, view.drain * DRAIN_FRACTION) + SPREAD * minOf(view.rank, MAXIMUM_SPREAD_RANK)
        return view.announcementAge < if (current) maximumAge else MAXIMUM_AGE_TO_BEGIN
    }

    private fun awaitsAnnouncements(view: ServerSourceView, start: StartView): Boolean {
        if (start.age >= if (start.isFirstStart) FIRST_START_PATIENCE else START_PATIENCE) return false
        if (!start.isRegistryRead || start.isSettling) return true
        return view.fleetSize > LARGEST_WATCHING_FLEET && (!start.isMajorityHeard || view.rank >= STANDBYS)
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

    /** A running controller answers within a round of heartbeats; a new one takes over 1.2 to 1.8 s after a crash. */
    private val START_PATIENCE = 1200.milliseconds

    /** At the first start no caller waits, and the first controller has to read the list before it can announce. */
    private val FIRST_START_PATIENCE = 5000.milliseconds
}
