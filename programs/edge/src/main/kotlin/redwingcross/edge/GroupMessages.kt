package redwingcross.edge

import redwingcross.process.edge.AnnouncedGroup
import redwingcross.process.edge.AnnouncedServer
import redwingcross.process.edge.AnnouncementId
import redwingcross.process.edge.GatewayRecord
import redwingcross.process.edge.GroupAnnouncement
import redwingcross.process.edge.RouteAnnouncement
import redwingcross.process.edge.RouteUpdate
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupNames
import redwingcross.version.fleet.RouteChanges
import redwingcross.version.fleet.RoutedServer
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.placement.LeaseEpoch
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal fun RouteAnnouncement.toMessage(
    sender: GatewayRecord,
    epoch: LeaseEpoch,
    service: ServiceName,
    lifetime: Duration,
    now: Duration,
) = GroupAnnouncement(
    sender = sender,
    leaseEpoch = epoch.value,
    sequence = sequence,
    base = base,
    formerEpoch = former?.leaseEpoch,
    formerSequence = former?.sequence,
    service = service.value,
    lifetimeMillis = lifetime.inWholeMilliseconds,
    serving = changes.groups.map { AnnouncedGroup(it.id.value, it.epoch.value, it.head.value) },
    removedGroups = changes.removedGroups.map { it.value },
    servers = changes.servers.map { it.toMessage(now) },
    removedServers = changes.removedServers.map { it.value },
    lost = lost.map { it.value },
)

private fun RoutedServer.toMessage(now: Duration) = AnnouncedServer(
    status.id.value,
    status.address.value,
    status.zone.value,
    status.slots,
    status.draining,
    (coldUntil - now).coerceAtLeast(Duration.ZERO).inWholeMilliseconds,
    status.start?.unixMillis,
)

internal fun GroupAnnouncement.toUpdate(receivedAt: Duration): RouteUpdate {
    val name = ServiceName(service)
    val changes = RouteChanges(
        groups = serving.mapNotNull { it.toServingGroup(name) },
        removedGroups = removedGroups.mapTo(mutableSetOf(), ::GroupId),
        servers = servers.map { it.toRoutedServer(name, receivedAt) },
        removedServers = removedServers.mapTo(mutableSetOf(), ::BackendServer),
    )
    return RouteUpdate(
        name,
        leaseEpoch,
        sequence,
        base,
        changes,
        lost.mapTo(mutableSetOf(), ::GroupId),
        validUntil = receivedAt + lifetimeMillis.milliseconds,
        former = formerEpoch?.let { epoch -> formerSequence?.let { AnnouncementId(epoch, it) } },
    )
}

private fun AnnouncedServer.toRoutedServer(service: ServiceName, receivedAt: Duration): RoutedServer {
    val status = EngineStatus(
        id = BackendServer(id),
        service = service,
        address = Endpoint(address),
        zone = AvailabilityZone(zone),
        slots = slots,
        draining = draining,
        coldRemaining = Duration.ZERO,
        start = start?.let(::EngineStart),
        domain = null,
        staged = emptyList(),
        membership = null,
    )
    return RoutedServer(status, receivedAt + coldMillis.milliseconds)
}

private fun AnnouncedGroup.toServingGroup(service: ServiceName): ServingGroup? {
    val group = GroupId(id)
    val model = GroupNames.model(group) ?: return null
    return ServingGroup(group, GroupEpoch(epoch), service, model, BackendServer(head))
}

internal fun Endpoint.toSocketAddress() =
    InetSocketAddress(value.substringBeforeLast(':'), value.substringAfterLast(':').toInt())
