package redwingcross.bench.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import redwingcross.version.bundle.ModelEntry
import redwingcross.version.bundle.VmEntry
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.control.ControlState

/** VMs, fabric domains and wanted groups of one scenario. */
internal class Layout(
    val name: String,
    zones: Int,
    /** Number of VMs in each fabric domain of a zone. */
    domainSizes: List<Int>,
    val groupsPerZone: Int,
    val faults: FaultCounts,
) {
    val zones = (1..zones).map { AvailabilityZone("zone-$it") }
    val entries =
        this.zones.flatMap { zone ->
            domainSizes.flatMapIndexed { domain, size ->
                (1..size).map { entry(zone, "$zone-d${domain + 1}", it) }
            }
        }

    val model =
        ModelEntry(
            model = ServiceName("assistant"),
            modelVersion = "1",
            vmsPerGroup = VMS_PER_GROUP,
            groupsByZone = this.zones.associateWith { groupsPerZone },
            coldLimit = 2,
            warmLimit = 16,
        )

    val control =
        ControlState(
            AcceptedBundle(
                BundleVersion(1),
                Bundle(name, "bench", this.zones, entries, emptyList(), listOf(model), emptyList(), emptyList()),
                digest = "",
                signedOffBy = "",
                nonce = "",
            ),
        )

    private fun entry(zone: AvailabilityZone, domain: String, number: Int): VmEntry {
        val vm = Vm("$domain-${number.toString().padStart(3, '0')}")
        return VmEntry(vm, zone, FabricDomain(domain), Endpoint("$vm:1"), ACCELERATORS_PER_VM)
    }
}

internal const val VMS_PER_GROUP = 8
internal const val ACCELERATORS_PER_VM = 8
