package redwingcross.process.gossip

import redwingcross.process.membership.Member
import redwingcross.request.AttemptId
import redwingcross.request.ProcessName
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.ControlState
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.routing.ColdReport
import kotlin.time.Duration

/** Takes a peer's control state; [requestedAt] is when it was asked for, or null when it was sent unasked. */
typealias AdoptControl = suspend (from: ProcessName, state: ControlState, requestedAt: Duration?) -> Unit

/**
 * What a program does with messages of its peers. Functions that don't suspend run on the membership task and must
 * return at once, for example after offering the value to a mailbox.
 */
class PeerHandlers(
    /** The control state that this process has adopted. */
    val controlState: () -> ControlState = { ControlState() },
    /** Offers a peer's control state; returns after it was passed to the task that decides on its adoption. */
    val adoptControl: AdoptControl = { _, _, _ -> },
    /** Answers a peer's or operator's request for the state of this process, as JSON. */
    val describeState: suspend () -> String = { "{}" },
    /** Gives up an attempt; true only if no byte of it was sent and none will be. */
    val abandonAttempt: suspend (AttemptId) -> Boolean = { false },
    /** A newer confirmation stamp and who passed it on; its age is valid at the given reading of the process clock. */
    val stampReceived: (ProcessName, ConfirmationStamp, Duration) -> Unit = { _, _, _ -> },
    /** A newer status and the earliest possible time of its publication on the process clock. */
    val zoneReceived: (ZoneStatus, Duration) -> Unit = { _, _ -> },
    val coldReceived: (ColdReport) -> Unit = {},
    /** A later process with the same name runs; this one must stop taking work and exit. */
    val replaced: (Member) -> Unit = {},
)
