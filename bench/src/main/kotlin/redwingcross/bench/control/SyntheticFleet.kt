package redwingcross.bench.control

import redwingcross.process.membership.Availability
import redwingcross.process.membership.Member
import redwingcross.process.membership.ProcessRole
import redwingcross.process.membership.StartId
import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.Endpoint
import redwingcross.version.placement.BootId
import redwingcross.version.placement.Generation
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Members and zone statuses with names of realistic lengths, in the proportions of the size the design is for. */
internal class SyntheticFleet(private val size: Int) {
    private val zones = listOf("brisbane-a", "ipswich-b", "gold-coast-c", "ub-a", "ub-b").map { AvailabilityZone(it) }

    /** 75 groups for 350 members, at least one in each zone. */
    private val groupsPerZone = maxOf(1, size * 75 / 350 / zones.size)

    fun member(index: Int, startedAt: Duration = Duration.ZERO): Member {
        val address = "10.20.${index / 250}.${index % 250 + 1}"
        return Member(
            name = ProcessName("gateway-${zones[index % zones.size]}-$index"),
            role = ProcessRole.GATEWAY,
            zone = zones[index % zones.size],
            peer = Endpoint("$address:7401"),
            caller = Endpoint("$address:8080"),
            start = StartId(index * 7_919_000_000_007L),
            startedAt = startedAt,
            availability = Availability.READY,
        )
    }

    fun members(): List<Member> = List(size) { member(it) }

    /** Statuses at [now] of groups that became ready 600 s before the clock's origin and don't change. */
    fun statuses(now: Duration): List<ZoneStatus> = zones.map { status(it, now) }

    private fun status(zone: AvailabilityZone, now: Duration) =
        ZoneStatus(zone, ProcessName("controller-$zone-1"), 0, List(groupsPerZone) { group(zone, it, now) })

    private fun group(zone: AvailabilityZone, index: Int, now: Duration): GroupStatus {
        val vms = List(8) { Vm("vm-$zone-$index-$it") }
        return GroupStatus(
            group = GroupId("briefing-$zone-$index"),
            generation = Generation(3),
            model = ServiceName("briefing-large"),
            leader = vms.first(),
            leaderEndpoint = Endpoint("10.30.1.$index:9000"),
            members = vms,
            readiness = GroupReadiness.READY,
            incarnation = BootId("boot-$zone-$index-4711"),
            readyFor = 600.seconds + now,
        )
    }
}
