package redwingcross.edge

import redwingcross.process.edge.AnnouncementId
import redwingcross.process.edge.FleetDecision
import redwingcross.process.edge.FleetState
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.GroupAnnouncement
import redwingcross.process.edge.LogEvent
import redwingcross.process.edge.PeerCodec
import redwingcross.process.edge.PeerMessage
import redwingcross.process.edge.RouteAnnouncement
import redwingcross.process.edge.RoutesRequest
import redwingcross.process.edge.ServerSourceDecision
import redwingcross.process.edge.ServerSourceView
import redwingcross.process.edge.StartView
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ServiceName
import redwingcross.version.placement.LeaseEpoch
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Callbacks through which [RouteRelay] changes the view of the fleet and sends messages. */
internal class RouteRelayDependencies(
    val fleet: () -> FleetState,
    val updateFleet: (FleetState) -> Unit,
    /** Sends a message to every other process. */
    val broadcast: (PeerMessage) -> Unit,
    /** Sends an encoded message to one process. */
    val send: (GatewayRecord, ByteArray) -> Unit,
    val runLater: (Duration, () -> Unit) -> Unit,
    /** Maximum time from the report that a back end is draining until no new request is sent to it. */
    val drain: () -> Duration,
    /** Number of processes that may be running. */
    val fleetSize: () -> Int,
    val activeController: () -> GatewayRecord?,
    /** What this process knows of the fleet while it has no routes. */
    val startView: () -> StartView,
    /** Called with the groups that have lost a member. */
    val groupsLost: (Set<GroupId>) -> Unit,
    /** Starts or ends the watch of the platform's list of back ends. */
    val watchServers: (Boolean) -> Unit,
)

/** Sends the announcements of the active controller, and applies those that this process receives. */
internal class RouteRelay(
    private val self: GatewayRecord,
    private val dependencies: RouteRelayDependencies,
    private val clock: MonotonicClock,
    private val random: Random,
    private val log: LogEvent,
) {
    private val requestedUntil = HashMap<ServiceName, Duration>()
    private val encoded = HashMap<ServiceName, EncodedRoutes>()

    /** Sends [announcement] to [receiver], or to every process if that is null. */
    fun announce(service: ServiceName, epoch: LeaseEpoch, announcement: RouteAnnouncement, receiver: GatewayRecord?) {
        val now = clock.now()
        if (receiver != null) {
            dependencies.send(receiver, complete(service, epoch, announcement, now))
            return
        }
        val message = announcement.toMessage(self, epoch, service, ANNOUNCEMENT_LIFETIME, now)
        dependencies.broadcast(message)
        onAnnounced(message)
    }

    /** Encodes complete routes once for all processes that request them at about the same time. */
    private fun complete(service: ServiceName, epoch: LeaseEpoch, routes: RouteAnnouncement, now: Duration): ByteArray {
        val id = AnnouncementId(epoch.value, routes.sequence)
        encoded[service]?.takeIf { it.id == id && now - it.at < ENCODED_LIFETIME }?.let { return it.bytes }
        val bytes = PeerCodec.encode(routes.toMessage(self, epoch, service, ANNOUNCEMENT_LIFETIME, now))
        encoded[service] = EncodedRoutes(id, now, bytes)
        return bytes
    }

    private class EncodedRoutes(val id: AnnouncementId, val at: Duration, val bytes: ByteArray)

    /** Applies an announcement; requests the complete routes if earlier changes were missed. */
    fun onAnnounced(message: GroupAnnouncement) {
        val now = clock.now()
        val update = message.toUpdate(now)
        val fleet = dependencies.fleet()
        if (FleetDecision.isIncomplete(fleet, update)) {
            requestComplete(message.sender, update.service, now, SPREAD_PER_PROCESS * dependencies.fleetSize())
        }
        dependencies.updateFleet(FleetDecision.announced(fleet, update, now))
        dependencies.groupsLost(update.lost)
    }

    private fun requestComplete(controller: GatewayRecord, service: ServiceName, now: Duration, spread: Duration) {
        if (requestedUntil[service]?.let { now < it } == true) return
        val delay = spread * random.nextDouble()
        requestedUntil[service] = now + delay + REQUEST_TIMEOUT
        dependencies.runLater(delay) {
            dependencies.send(controller, PeerCodec.encode(RoutesRequest(self, service.value)))
        }
    }

    /** Changes between the platform's list and the announced routes if the state of the fleet requires it. */
    fun updateServerSource(rank: Int, isActiveController: Boolean) {
        val now = clock.now()
        val fleet = dependencies.fleet()
        val services = fleet.configuration?.services?.keys.orEmpty()
        val age = services.maxOfOrNull { service ->
            fleet.announced[service]?.let { now - it.confirmedAt }
                ?: Duration.INFINITE
        }
        val view =
            ServerSourceView(
                dependencies.fleetSize(),
                rank,
                isActiveController,
                age ?: Duration.INFINITE,
                dependencies.drain(),
                dependencies.startView().takeIf { it.isSettling || !fleet.knowsAllServices },
            )
        val uses = ServerSourceDecision.usesAnnouncements(fleet.usesAnnouncedServers, view)
        if (uses && !fleet.knowsAllServices) requestMissing(fleet, services, now)
        if (uses == fleet.usesAnnouncedServers) return
        log("server_source", arrayOf("announced" to uses, "age" to age, "rank" to rank, "fleet" to view.fleetSize))
        dependencies.updateFleet(
            if (uses) FleetDecision.announcedServersUsed(fleet, now) else FleetDecision.listedServersUsed(fleet),
        )
        dependencies.watchServers(!uses)
    }

    /** Requests the routes that a process which has just started doesn't know yet, once it hears a controller. */
    private fun requestMissing(fleet: FleetState, services: Set<ServiceName>, now: Duration) {
        val controller = dependencies.activeController() ?: return
        services.filter { it !in fleet.announced }.forEach { requestComplete(controller, it, now, Duration.ZERO) }
    }

    private companion object {
        /** Long enough that the loss of a few announcements in a row does not invalidate the routes. */
        val ANNOUNCEMENT_LIFETIME = 3000.milliseconds

        /** Requests for complete routes after a change of the controller are spread over this time for each process. */
        val SPREAD_PER_PROCESS = 3.milliseconds
        val REQUEST_TIMEOUT = 200.milliseconds

        /** Cold times in encoded routes are relative to their encoding, so they are encoded anew after this time. */
        val ENCODED_LIFETIME = 300.milliseconds
    }
}
