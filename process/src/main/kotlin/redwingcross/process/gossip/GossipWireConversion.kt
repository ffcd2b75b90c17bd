package redwingcross.process.gossip

import redwingcross.process.membership.ReachabilityAges
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.OverridesVersion
import redwingcross.version.control.VmListVersion
import redwingcross.version.placement.BootId
import redwingcross.version.placement.Generation
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Returns whole milliseconds, rounded up so that an age is never understated; 0 for a negative age. */
internal fun Duration.age(): Long =
    inWholeMilliseconds.let { if (it.milliseconds < this) it + 1 else it }.coerceAtLeast(0)

private fun ConfirmationStamp.toWire() = WireStamp(bundle.value, overrides.value, age.age(), vms.value)

private fun WireStamp.toStamp() = ConfirmationStamp(
    BundleVersion(bundle),
    OverridesVersion(overrides),
    age.coerceAtLeast(0).milliseconds,
    VmListVersion(leaving),
)

internal fun ZoneHeartbeat.toWire() =
    WireHeartbeat(key.zone.value, key.observer.value, sequence, contentSequence, holder?.value)

private fun WireHeartbeat.toHeartbeat() = ZoneHeartbeat(
    ZoneKey(AvailabilityZone(zone), ProcessName(observer)),
    sequence,
    contentSequence,
    holder?.let(::LeaseEpoch),
)

internal fun ZoneUpdate.toWire() = WireZone(heartbeat.toWire(), age.age(), groups?.map { it.toWire() })

private fun WireZone.toUpdate() =
    ZoneUpdate(heartbeat.toHeartbeat(), age.coerceAtLeast(0).milliseconds, groups?.map { it.toStatus() })

/** The ready time is rounded down, because it is a lower bound. */
private fun GroupStatus.toWire() = WireGroup(
    group = group.value,
    generation = generation.value,
    model = model.value,
    leader = leader.value,
    leaderEndpoint = leaderEndpoint.value,
    members = members.map { it.value },
    readiness = readiness.ordinal,
    incarnation = incarnation.value,
    readyFor = readyFor.inWholeMilliseconds,
    reason = reason,
)

private fun WireGroup.toStatus() = GroupStatus(
    group = GroupId(group),
    generation = Generation(generation),
    model = ServiceName(model),
    leader = Vm(leader),
    leaderEndpoint = Endpoint(leaderEndpoint),
    members = members.map(::Vm),
    readiness = GroupReadiness.entries[readiness],
    incarnation = BootId(incarnation),
    readyFor = readyFor.milliseconds,
    reason = reason,
)

internal fun ColdUpdate.toWire() = WireCold(
    server = report.server.value,
    incarnation = report.incarnation.value,
    reporter = report.reporter.value,
    number = report.number,
    age = age.age(),
)

private fun WireCold.toUpdate() = ColdUpdate(
    ColdReport(BackendServer(server), BootId(incarnation), ProcessName(reporter), number),
    age.coerceAtLeast(0).milliseconds,
)

internal fun GossipDigest.toWire(now: Duration) = WireDigest(
    bundle = versions.bundle.value,
    overrides = versions.overrides.value,
    leaving = versions.leaving.value,
    stamp = stamp?.toWire(),
    zones = zones.map { it.toWire() },
    changes = changes.map { it.toWire(now) },
    cold = cold.map { it.toWire() },
    wantsReachability = wantsReachability,
)

internal fun WireDigest.toDigest(now: Duration) = GossipDigest(
    versions = ControlVersions(BundleVersion(bundle), OverridesVersion(overrides), VmListVersion(leaving)),
    stamp = stamp?.toStamp(),
    zones = zones.map { it.toHeartbeat() },
    changes = changes.map { it.toChange(now) },
    cold = cold.map { it.toUpdate() },
    wantsReachability = wantsReachability,
)

internal fun GossipAnswer.toWire(now: Duration) = WireAnswer(
    bundle = versions.bundle.value,
    overrides = versions.overrides.value,
    leaving = versions.leaving.value,
    stamp = stamp?.toWire(),
    zones = zones.map { it.toWire() },
    changes = changes.map { it.toWire(now) },
    cold = cold.map { it.toWire() },
    gatewaySetDigest = reachability?.gatewaySetDigest,
    ages = reachability?.ages,
)

internal fun WireAnswer.toAnswer(now: Duration) = GossipAnswer(
    versions = ControlVersions(BundleVersion(bundle), OverridesVersion(overrides), VmListVersion(leaving)),
    stamp = stamp?.toStamp(),
    zones = zones.map { it.toUpdate() },
    changes = changes.map { it.toChange(now) },
    cold = cold.map { it.toUpdate() },
    reachability = gatewaySetDigest?.let { ReachabilityAges(it, requireNotNull(ages)) },
)

internal fun GossipPayload.ZonesRequest.toWire() = WireKeys(keys.map { WireKey(it.zone.value, it.observer.value) })

internal fun WireKeys.toPayload() =
    GossipPayload.ZonesRequest(keys.map { ZoneKey(AvailabilityZone(it.zone), ProcessName(it.observer)) })

internal fun GossipPayload.Zones.toWire() = WireZones(zones.map { it.toWire() })

internal fun WireZones.toPayload() = GossipPayload.Zones(zones.map { it.toUpdate() })
