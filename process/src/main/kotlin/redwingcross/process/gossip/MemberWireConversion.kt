package redwingcross.process.gossip

import redwingcross.process.membership.Availability
import redwingcross.process.membership.Incarnation
import redwingcross.process.membership.Member
import redwingcross.process.membership.MemberChange
import redwingcross.process.membership.MemberCondition
import redwingcross.process.membership.ProcessRole
import redwingcross.process.membership.StartId
import redwingcross.process.membership.TableDigest
import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal fun MemberChange.toWire(now: Duration) = WireMember(
    name = member.name.value,
    role = member.role.ordinal,
    zone = member.zone.value,
    peer = member.peer.value,
    caller = member.caller?.value,
    start = member.start.value,
    startedAgo = (now - member.startedAt).age(),
    incarnation = member.incarnation.value,
    availability = member.availability.ordinal,
    condition = condition.ordinal,
)

internal fun WireMember.toChange(now: Duration) = MemberChange(
    Member(
        name = ProcessName(name),
        role = ProcessRole.entries[role],
        zone = AvailabilityZone(zone),
        peer = Endpoint(peer),
        caller = caller?.let(::Endpoint),
        start = StartId(start),
        startedAt = now - startedAgo.milliseconds,
        incarnation = Incarnation(incarnation),
        availability = Availability.entries[availability],
    ),
    MemberCondition.entries[condition],
)

private fun Member.toWire(now: Duration) = MemberChange(this, MemberCondition.ALIVE).toWire(now)

internal fun GossipPayload.Introduction.toWire(now: Duration) =
    WirePing(sender.toWire(now), changes.map { it.toWire(now) })

internal fun WirePing.toPayload(now: Duration) =
    GossipPayload.Introduction(sender.toChange(now).member, changes.map { it.toChange(now) })

internal fun GossipPayload.Sync.toWire(now: Duration) = WireSync(sender.toWire(now), digest.parts)

internal fun WireSync.toPayload(now: Duration) = GossipPayload.Sync(sender.toChange(now).member, TableDigest(parts))

internal fun GossipPayload.Table.toWire(now: Duration) = WireTable(digest.parts, changes.map { it.toWire(now) })

internal fun WireTable.toPayload(now: Duration) =
    GossipPayload.Table(TableDigest(parts), changes.map { it.toChange(now) })
