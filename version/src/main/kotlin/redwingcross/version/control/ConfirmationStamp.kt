package redwingcross.version.control

import kotlinx.serialization.Serializable
import redwingcross.version.bundle.BundleVersion
import kotlin.time.Duration

/**
 * States that [age] ago the platform confirmed these versions of the control state to some node. A node that forwards a
 * stamp adds the time for which it held it.
 */
@Serializable
data class ConfirmationStamp(
    val bundle: BundleVersion,
    val overrides: OverridesVersion,
    val age: Duration,
    /** Version of the list of VMs that the node had at that time. */
    val vms: VmListVersion = VmListVersion(0),
)
