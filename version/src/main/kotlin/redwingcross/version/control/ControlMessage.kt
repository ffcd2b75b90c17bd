package redwingcross.version.control

import redwingcross.request.ProcessName
import redwingcross.request.Vm
import redwingcross.version.bundle.BundleVersion
import kotlin.time.Duration

/**
 * Input of [ControlDecision.step]. Each `requestedAt` is the reading of the process clock when the request was sent.
 * The time of arrival would not bound the age of the content, because a response can be delayed by a partition or wait
 * in the socket buffer of a paused process.
 */
sealed interface ControlMessage {
    /** The platform responded about kind `control`; an object that the response did not contain is null. */
    data class ControlReceived(val bundle: AcceptedBundle?, val overrides: Overrides?, val requestedAt: Duration) :
        ControlMessage

    /** The platform responded about kind `vms`. A [complete] response lists every VM, any other one only changes. */
    data class VmListReceived(val vms: List<ListedVm>, val complete: Boolean, val requestedAt: Duration) :
        ControlMessage

    /** A peer sent its control state. [requestedAt] is null if an operator's command sent it without a request. */
    data class PeerStateReceived(val from: ProcessName, val control: ControlState, val requestedAt: Duration?) :
        ControlMessage

    /** A peer forwarded a stamp; its age counts back from [requestedAt]. */
    data class StampReceived(val from: ProcessName, val stamp: ConfirmationStamp, val requestedAt: Duration) :
        ControlMessage

    /**
     * Membership found a majority of the gateway set reachable; all probes for this were sent at [probedAt] or later.
     */
    data class MajorityReachable(val probedAt: Duration) : ControlMessage

    /** Membership no longer finds a majority of the gateway set reachable. */
    data object MajorityLost : ControlMessage

    /** Sent periodically, so that a stale view is detected without other messages. */
    data object Tick : ControlMessage
}

/** An entry of the platform's list of VMs; [version] is that of its object in the store. */
data class ListedVm(val vm: Vm, val version: Long, val leaving: Boolean)

/** Action that [ControlTask] carries out after a step. */
sealed interface ControlEffect {
    /** Request the control state of a peer that reported a higher version. */
    data class RequestPeerState(val peer: ProcessName) : ControlEffect

    /** Request the control state of every seed peer, because the view is stale. */
    data object RequestSeedPeerStates : ControlEffect

    /** A higher version was adopted. */
    data class Adopted(val bundle: BundleVersion, val overrides: OverridesVersion, val leaving: VmListVersion) :
        ControlEffect

    /** The platform responded with a lower version than the node's own; it was not adopted. */
    data class OutdatedResponse(val bundle: BundleVersion?, val overrides: OverridesVersion?) : ControlEffect
}
