package redwingcross.version.control

import kotlinx.serialization.Serializable
import redwingcross.version.bundle.BundleVersion
import kotlin.time.Duration

/**
 * States that some node heard from the platform [age] ago and that the control state then had these versions. Whoever
 * passes a stamp on adds the time for which it held it.
 */
@Serializable
data class ConfirmationStamp(
    val bundle: BundleVersion,
    val overrides: OverridesVersion,
    val age: Duration,
    /** Version of the list of VMs that the node then had. */
    val vms: VmListVersion = VmListVersion(0),
)
