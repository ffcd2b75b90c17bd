package redwingcross.edge

import redwingcross.process.edge.AnnouncedGroup
import redwingcross.process.edge.AnnouncedGroups
import redwingcross.process.edge.GroupAnnouncement
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.ServingGroup
import java.net.InetSocketAddress
import kotlin.time.Duration

internal fun ServingGroup.toMessage() =
    AnnouncedGroup(id.value, epoch.value, model.value, head.value, headAddress.value, headZone.value)

internal fun GroupAnnouncement.toGroups(heardAt: Duration) = AnnouncedGroups(
    leaseEpoch,
    sequence,
    heardAt,
    serving.map { it.toServingGroup(ServiceName(service)) },
    lost.mapTo(mutableSetOf(), ::GroupId),
)

private fun AnnouncedGroup.toServingGroup(service: ServiceName) = ServingGroup(
    id = GroupId(id),
    epoch = GroupEpoch(epoch),
    service = service,
    model = ModelName(model),
    head = BackendServer(head),
    headAddress = Endpoint(address),
    headZone = AvailabilityZone(zone),
    members = emptyList(),
)

internal fun Endpoint.toSocketAddress() =
    InetSocketAddress(value.substringBeforeLast(':'), value.substringAfterLast(':').toInt())
