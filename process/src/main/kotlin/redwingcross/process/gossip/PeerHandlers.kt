package redwingcross.process.gossip

import redwingcross.process.membership.Member
import redwingcross.request.AttemptId
import redwingcross.version.control.ConfirmationStamp
import redwingcross.version.control.ControlState
import redwingcross.version.placement.BootId
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration

/**
 * What a program does with messages of its peers. Functions that don't suspend run on the membership task and must
 * return at once, for example after offering the value to a mailbox.
 */
class PeerHandlers(
    /** The control state that this process has adopted. */
    val controlState: () -> ControlState = { ControlState() },
    /** Offers a peer's control state; returns after the newer parts were adopted. */
    val adoptControl: suspend (ControlState) -> Unit = {},
    /** Answers a peer's or operator's request for the state of this process, as JSON. */
    val describeState: suspend () -> String = { "{}" },
    /** Gives up an attempt; true only if no byte of it was sent and none will be. */
    val abandonAttempt: suspend (AttemptId) -> Boolean = { false },
    /** A newer confirmation stamp; its age is valid at the given reading of the process clock. */
    val stampHeard: (ConfirmationStamp, Duration) -> Unit = { _, _ -> },
    /** A newer status and the earliest possible time of its publication on the process clock. */
    val zoneHeard: (ZoneStatus, Duration) -> Unit = { _, _ -> },
    val coldHeard: (BootId) -> Unit = {},
    /** A later process with the same name runs; this one must stop taking work and exit. */
    val replaced: (Member) -> Unit = {},
)
