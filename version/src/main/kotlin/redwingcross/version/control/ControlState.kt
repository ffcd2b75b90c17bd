package redwingcross.version.control

import kotlinx.serialization.Serializable
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Vm
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion

/** The value of the platform object `control/bundle`. */
@Serializable
data class AcceptedBundle(
    val version: BundleVersion,
    val bundle: Bundle,
    /** SHA-256 of the signed-off body, in hexadecimal. */
    val digest: String,
    val signedOffBy: String,
    /** Identifies the write, so that its writer recognises it after a lost answer. */
    val nonce: String,
)

/** Version of the overrides; it rises by one with each change. */
@Serializable
@JvmInline
value class OverridesVersion(val value: Long) : Comparable<OverridesVersion> {
    override fun compareTo(other: OverridesVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The value of the platform object `control/overrides`: what operators took out of service at short notice. */
@Serializable
data class Overrides(
    val version: OverridesVersion = OverridesVersion(0),
    val zonesOut: Set<AvailabilityZone> = emptySet(),
    /** VMs that get no new work. */
    val drainedVms: Set<Vm> = emptySet(),
    /** VMs that serve on until another VM has replaced them in their group. */
    val retiringVms: Set<Vm> = emptySet(),
    val drainedServers: Set<BackendServer> = emptySet(),
    /** Identifies the write, so that its writer recognises it after a lost answer. */
    val nonce: String = "",
) {
    /** VMs that no group may take as a new member. */
    val unusableVms: Set<Vm> get() = drainedVms + retiringVms
}

/** Highest object version that a node has seen in the platform's list of VMs. */
@Serializable
@JvmInline
value class VmListVersion(val value: Long) : Comparable<VmListVersion> {
    override fun compareTo(other: VmListVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** The VMs that the platform is about to stop. */
@Serializable
data class LeavingVms(val version: VmListVersion = VmListVersion(0), val vms: Set<Vm> = emptySet())

/** The newest bundle, overrides and leaving VMs that a node has adopted; their versions only ever rise. */
@Serializable
data class ControlState(
    val bundle: AcceptedBundle? = null,
    val overrides: Overrides = Overrides(),
    val leaving: LeavingVms = LeavingVms(),
)
