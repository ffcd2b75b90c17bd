package redwingcross.edge

import redwingcross.process.edge.AnnouncedGroup
import redwingcross.process.edge.AnnouncedGroups
import redwingcross.process.edge.GroupAnnouncement
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupNames
import redwingcross.version.fleet.ServingGroup
import java.net.InetSocketAddress
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal fun ServingGroup.toMessage() = AnnouncedGroup(id.value, epoch.value, head.value)

internal fun GroupAnnouncement.toGroups(receivedAt: Duration) = AnnouncedGroups(
    ServiceName(service),
    leaseEpoch,
    sequence,
    receivedAt + lifetimeMillis.milliseconds,
    serving.mapNotNull { it.toServingGroup(ServiceName(service)) },
    lost.mapTo(mutableSetOf(), ::GroupId),
)

private fun AnnouncedGroup.toServingGroup(service: ServiceName): ServingGroup? {
    val group = GroupId(id)
    val model = GroupNames.model(group) ?: return null
    return ServingGroup(group, GroupEpoch(epoch), service, model, BackendServer(head))
}

internal fun Endpoint.toSocketAddress() =
    InetSocketAddress(value.substringBeforeLast(':'), value.substringAfterLast(':').toInt())
