package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.version.fleet.GatewayShare
import redwingcross.version.forwarding.CancelTimer
import redwingcross.version.forwarding.ForwardJob
import redwingcross.version.forwarding.ForwardOutcome
import redwingcross.version.forwarding.RequestCodec
import redwingcross.version.forwarding.SendToBackend
import kotlin.time.Duration

/** Callbacks through which [GatewayTask] reads the process state and sends requests and messages. */
class GatewayDependencies(
    val clock: MonotonicClock,
    val codec: RequestCodec,
    val fleet: () -> FleetState,
    /** This gateway's share of the limits that all gateways divide among themselves. */
    val gatewayShare: () -> GatewayShare,
    val send: SendToBackend,
    /** Runs an action on the event loop after a delay. */
    val runLater: (Duration, () -> Unit) -> CancelTimer,
    /** Reports to the controller that a group makes no progress. */
    val reportSuspectedGroup: (GroupId) -> Unit,
    /** Called when a back end reports that it stays cold for the given time. */
    val coldReported: (BackendServer, Duration) -> Unit,
    /** Called once for each forwarded request when it has ended. */
    val recordOutcome: (ForwardOutcome) -> Unit,
    val log: LogEvent,
    /** Null unless gateways share what they observe of groups. */
    val sharedHealth: SharedHealthDependencies? = null,
    /** Reaches the owner of the places; null if groups are chosen without it. */
    val places: PlaceNetwork? = null,
    /** Called when a back end's response shows that it began to run a request, once for each back end. */
    val runBegan: (ForwardJob) -> Unit = {},
)
