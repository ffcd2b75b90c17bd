package redwingcross.version.control

import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.bundle.BundleVersion
import kotlin.time.Duration

/**
 * What a node learns about the control state. Each `requestedAt` is the reading of the process clock when the question
 * was sent: an answer can be delayed by a partition or wait in a socket of a paused process, so its arrival proves
 * nothing about its age.
 */
sealed interface ControlMessage {
    /** The platform answered about kind `control`; null stands for an object that the answer did not contain. */
    data class ControlReceived(val bundle: AcceptedBundle?, val overrides: Overrides?, val requestedAt: Duration) :
        ControlMessage

    /** The platform answered about kind `vms`. A [complete] answer lists every VM, another one only changes. */
    data class VmListReceived(val vms: List<ListedVm>, val complete: Boolean, val requestedAt: Duration) :
        ControlMessage

    /** A peer sent its control state, asked for at [requestedAt], or an operator's command sent it unasked (null). */
    data class PeerStateReceived(val from: ProcessName, val control: ControlState, val requestedAt: Duration?) :
        ControlMessage

    /** A peer passed on a stamp; its age is counted from [requestedAt]. */
    data class StampReceived(val from: ProcessName, val stamp: ConfirmationStamp, val requestedAt: Duration) :
        ControlMessage

    /** Membership found a majority of the roster reachable; every probe behind this was sent at [probedAt] or later. */
    data class MajorityReachable(val probedAt: Duration) : ControlMessage

    /** Membership no longer finds a majority of the roster reachable. */
    data object MajorityLost : ControlMessage

    /** Time has passed. */
    data object Tick : ControlMessage
}

/** An entry of the platform's list of VMs with the version of its object. */
data class ListedVm(val vm: Vm, val version: Long, val leaving: Boolean)

/** What the control task does after a step. */
sealed interface ControlEffect {
    /** Request the control state of a peer that reported a higher version. */
    data class RequestPeerState(val peer: ProcessName) : ControlEffect

    /** The view is stale: request the control state of every seed peer. */
    data object RequestSeedPeerStates : ControlEffect

    /** A higher version was adopted. */
    data class Adopted(val bundle: BundleVersion, val overrides: OverridesVersion, val leaving: VmListVersion) :
        ControlEffect

    /** The platform answered with a lower version than the node's own; the answer was ignored. */
    data class OutdatedAnswer(val bundle: BundleVersion?, val overrides: OverridesVersion?) : ControlEffect
}
