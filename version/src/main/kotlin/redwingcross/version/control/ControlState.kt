package redwingcross.version.control

import kotlinx.serialization.Serializable
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Vm
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion

/** Value of the platform object `control/bundle`: a bundle that operators signed off. */
@Serializable
data class AcceptedBundle(
    val version: BundleVersion,
    val bundle: Bundle,
    /** SHA-256 of the signed-off body, in hexadecimal. */
    val digest: String,
    val signedOffBy: String,
    /** Identifies the write, so that the writer can recognise it if the response was lost. */
    val nonce: String,
)

/** Version of the overrides; it increases by one with each change. */
@Serializable
@JvmInline
value class OverridesVersion(val value: Long) : Comparable<OverridesVersion> {
    override fun compareTo(other: OverridesVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Value of the platform object `control/overrides`: zones, VMs and servers that operators took out of service. */
@Serializable
data class Overrides(
    val version: OverridesVersion = OverridesVersion(0),
    /** Evacuated zones: their gateways, VMs and servers get no new requests. */
    val zonesOut: Set<AvailabilityZone> = emptySet(),
    /** VMs that get no new requests. */
    val drainedVms: Set<Vm> = emptySet(),
    /** VMs that continue to serve until another VM has replaced them in their group. */
    val retiringVms: Set<Vm> = emptySet(),
    /** Backend servers that get no new requests. */
    val drainedServers: Set<BackendServer> = emptySet(),
    /** Identifies the write, so that the writer can recognise it if the response was lost. */
    val nonce: String = "",
) {
    /** VMs that must not become members of a group. */
    val unusableVms: Set<Vm> get() = drainedVms + retiringVms
}

/** Highest object version that a node has received in the platform's list of VMs. */
@Serializable
@JvmInline
value class VmListVersion(val value: Long) : Comparable<VmListVersion> {
    override fun compareTo(other: VmListVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** VMs that the platform is about to stop, as of [version] of its list. */
@Serializable
data class LeavingVms(val version: VmListVersion = VmListVersion(0), val vms: Set<Vm> = emptySet())

/** Latest bundle, overrides and leaving VMs that a node has adopted. Their versions never decrease. */
@Serializable
data class ControlState(
    val bundle: AcceptedBundle? = null,
    val overrides: Overrides = Overrides(),
    val leaving: LeavingVms = LeavingVms(),
)
