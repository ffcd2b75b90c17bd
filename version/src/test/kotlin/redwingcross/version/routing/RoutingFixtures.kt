package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.request.slot.SlotRequest
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.CustomerEntry
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import redwingcross.version.bundle.GatewayEntry
import redwingcross.version.bundle.ModelEntry
import redwingcross.version.bundle.ServiceEntry
import redwingcross.version.bundle.ServiceInstance
import redwingcross.version.bundle.VmEntry
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.placement.BootId
import redwingcross.version.placement.Generation
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

internal val ZONES = listOf("ub-a", "ub-b", "ub-c").map(::AvailabilityZone)
internal val MODEL = ServiceName("briefing")
internal val PLAIN_SERVICE = ServiceName("dispatch")
internal val LARGE = Customer("ulaanbaatar-roofs")
internal val SMALL = Customer("darkhan-roofs")

/** Name of gateway [index]. Gateways and groups are distributed over the zones by index, see [zoneOf]. */
internal fun gatewayName(index: Int) = ProcessName("gateway-$index")

internal fun zoneOf(index: Int) = ZONES[index % ZONES.size]

internal fun vmsOf(group: Int) = listOf(Vm("vm-$group-0"), Vm("vm-$group-1"))

internal fun bundleOf(
    gateways: Iterable<Int>,
    groups: Int = 3,
    coldLimit: Int = 2,
    warmLimit: Int = 16,
    rampStep: Duration = 5.seconds,
): Bundle = Bundle(
    name = "test",
    region = "ulaanbaatar",
    zones = ZONES,
    vms = (0 until groups).flatMap { group ->
        vmsOf(group).map { VmEntry(it, zoneOf(group), FabricDomain("rack-$group"), Endpoint("127.0.0.1:1"), 8) }
    },
    gateways = gateways.map {
        GatewayEntry(gatewayName(it), zoneOf(it), Endpoint("127.0.0.1:2"), Endpoint("127.0.0.1:3"))
    },
    models = listOf(
        ModelEntry(MODEL, "1", 2, emptyMap(), coldLimit = coldLimit, warmLimit = warmLimit, rampStep = rampStep),
    ),
    services = listOf(
        ServiceEntry(
            PLAIN_SERVICE,
            listOf(ServiceInstance(BackendServer("dispatch-1"), ZONES[0], Endpoint("127.0.0.1:4"))),
        ),
    ),
    customers = listOf(CustomerEntry(LARGE, weight = 3, queueLimit = 200), CustomerEntry(SMALL)),
)

internal fun accepted(version: Long, bundle: Bundle) =
    AcceptedBundle(BundleVersion(version), bundle, digest = "", signedOffBy = "", nonce = "")

internal fun statusOf(
    group: Int,
    incarnation: String = "boot-$group-1",
    readyFor: Duration = Duration.ZERO,
    generation: Long = 1,
    readiness: GroupReadiness = GroupReadiness.READY,
) = GroupStatus(
    GroupId("group-$group"),
    Generation(generation),
    MODEL,
    vmsOf(group).first(),
    Endpoint("127.0.0.1:${5000 + group}"),
    vmsOf(group),
    readiness,
    BootId(incarnation),
    readyFor,
)

internal fun zoneStatus(group: Int, sequence: Long, status: GroupStatus, observer: String = "controller-1") =
    ZoneStatus(zoneOf(group), ProcessName(observer), sequence, listOf(status))

internal fun slotRequest(
    number: Long,
    customer: Customer = LARGE,
    service: ServiceName = MODEL,
    deadline: Duration = Duration.INFINITE,
) = SlotRequest(RequestId("request-$number"), customer, service, priority = 0, heldBytes = 100, deadline = deadline)
