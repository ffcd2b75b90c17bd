package redwingcross.process.gossip

import redwingcross.process.membership.Member
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.ControlState
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Receives a peer's control state; [requestedAt] is the time of the request, null if the peer sent it unrequested. */
typealias AdoptControl = suspend (from: ProcessName, state: ControlState, requestedAt: Duration?) -> Unit

/**
 * Callbacks of a program for messages of its peers. Callbacks that don't suspend run on the membership task and must
 * return at once, for example after offering the value to a queue.
 */
class PeerHandlers(
    /** Returns the control state that this process has adopted. */
    val controlState: () -> ControlState = { ControlState() },
    /** Passes a peer's control state to the task that decides whether to adopt it; returns once that is done. */
    val adoptControl: AdoptControl = { _, _, _ -> },
    /** Returns the state of this process as JSON, for a request of a peer or operator. */
    val describeState: suspend () -> String = { "{}" },
    /** Abandons an attempt; returns true only if no byte of it was sent and none will be. */
    val abandonAttempt: suspend (AttemptId) -> Boolean = { false },
    /**
     * A newer confirmation stamp and the peer that sent it; its age is valid at the given time of the process clock.
     */
    val stampReceived: (ProcessName, ConfirmationStamp, Duration) -> Unit = { _, _, _ -> },
    /** A newer zone status and the earliest possible time of its publication on the process clock. */
    val zoneReceived: (ZoneStatus, Duration) -> Unit = { _, _ -> },
    /** A report of a peer that a server turned cold without a restart. */
    val coldReceived: (ColdReport) -> Unit = {},
    /** A process with the same name that started later is running; this one must stop accepting work and exit. */
    val replaced: (Member) -> Unit = {},
)
