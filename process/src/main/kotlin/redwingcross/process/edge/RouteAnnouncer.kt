package redwingcross.process.edge

import redwingcross.request.GroupId
import redwingcross.version.fleet.RouteChanges
import redwingcross.version.fleet.ServiceRoutes
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An announcement of the routes of one service by the active controller. */
data class RouteAnnouncement(
    /** Orders the announcements of one lease epoch. */
    val sequence: Long,
    /** Sequence of the oldest routes to which [changes] can be applied; null if [changes] are the complete routes. */
    val base: Long?,
    val changes: RouteChanges,
    /** Groups that have lost a member; their streams have to move to another group. */
    val lost: Set<GroupId>,
    /** The last announcement of the former controller that the changes apply to as well; null if there is none. */
    val former: AnnouncementId? = null,
)

/** Identifies the routes of an announcement. */
data class AnnouncementId(val leaseEpoch: Long, val sequence: Long)

/** Routes that were announced before and replaced at [replacedAt]. */
data class PastRoutes(val sequence: Long, val routes: ServiceRoutes, val replacedAt: Duration)

/** The announced routes of one service under one lease epoch. */
data class AnnouncerState(
    val epoch: LeaseEpoch,
    val sequence: Long = 0,
    val routes: ServiceRoutes = ServiceRoutes(),
    val lost: Set<GroupId> = emptySet(),
    val past: List<PastRoutes> = emptyList(),
    val sentAt: Duration = -Duration.INFINITE,
    /** The announcement of the former controller that [routes] of sequence 0 were taken from. */
    val former: AnnouncementId? = null,
)

/**
 * Decides when the active controller announces the routes of a service, and with what content. Answers the load of a
 * large fleet that forms or loses many groups at once: complete lists to every gateway at each change fill the link of
 * a small VM, and datagrams that find a link full are lost.
 *
 * An announcement contains the changes of the last [REPETITION_WINDOW], so that each change is sent several times. A
 * gateway that has missed more requests the complete routes. A new controller starts from the last announcement of the
 * former one, so that a takeover does not make every gateway of the fleet request the complete routes.
 */
object RouteAnnouncer {
    /** State of a controller that begins under [epoch]; [last] is what it received from the former controller. */
    fun start(epoch: LeaseEpoch, last: AnnouncedRoutes?): AnnouncerState = if (last == null) {
        AnnouncerState(epoch)
    } else {
        AnnouncerState(
            epoch,
            routes = last.routes,
            lost = last.lost,
            former = AnnouncementId(last.leaseEpoch, last.sequence),
        )
    }

    /** Records the current [routes]; returns an announcement for all gateways if one is due. */
    fun publish(
        state: AnnouncerState,
        routes: ServiceRoutes,
        lost: Set<GroupId>,
        now: Duration,
    ): Pair<AnnouncerState, RouteAnnouncement?> {
        val changed = routes != state.routes || lost != state.lost || state.sequence == 0L
        if (!changed) return if (now - state.sentAt < KEEPALIVE_INTERVAL) state to null else announced(state, now)
        if (now - state.sentAt < MINIMUM_INTERVAL) return state to null
        val past = state.past.filter { now - it.replacedAt < REPETITION_WINDOW } +
            PastRoutes(state.sequence, state.routes, now)
        return announced(
            state.copy(sequence = state.sequence + 1, routes = routes, lost = lost, past = past.takeLast(MAXIMUM_PAST)),
            now,
        )
    }

    private fun announced(state: AnnouncerState, now: Duration): Pair<AnnouncerState, RouteAnnouncement?> {
        val past = state.past.filter { now - it.replacedAt < REPETITION_WINDOW }
        // A gateway may have any of the past routes, so what has changed since any of them is part of the changes.
        val changes = past.fold(RouteChanges()) { all, routes -> all + routes.routes.changesTo(state.routes) }
        val base = past.firstOrNull()?.sequence ?: state.sequence
        val announcement = when {
            base > 0 -> RouteAnnouncement(state.sequence, base, changes, state.lost)
            state.former != null -> RouteAnnouncement(state.sequence, base, changes, state.lost, state.former)
            // Nothing was announced before, so the changes are the complete routes.
            else -> RouteAnnouncement(state.sequence, null, changes, state.lost)
        }
        return state.copy(past = past, sentAt = now) to announcement
    }

    /** The complete routes, for a gateway that has missed changes. */
    fun complete(state: AnnouncerState): RouteAnnouncement =
        RouteAnnouncement(state.sequence, null, ServiceRoutes().changesTo(state.routes), state.lost)

    /** Interval of announcements without changes, from which gateways know that their routes are valid. */
    val KEEPALIVE_INTERVAL = 500.milliseconds

    /** Collects the changes of a time in which many groups form. */
    private val MINIMUM_INTERVAL = 80.milliseconds

    /** Time for which a change is repeated in each announcement, because datagrams can be lost. */
    private val REPETITION_WINDOW = 1.5.seconds
    private const val MAXIMUM_PAST = 20
}
