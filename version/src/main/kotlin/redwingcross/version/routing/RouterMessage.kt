package redwingcross.version.routing

import redwingcross.request.NotRunReason
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import redwingcross.version.control.ControlView
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration

/** Identifies one waiting caller of the router. */
@JvmInline
value class Ticket(val value: Long)

/** What the router learns. */
sealed interface RouterMessage {
    data class Acquire(val ticket: Ticket, val request: SlotRequest) : RouterMessage

    /** The caller no longer waits for its answer. */
    data class Withdraw(val ticket: Ticket) : RouterMessage

    data class Release(val slot: SlotId, val result: SlotResult) : RouterMessage

    /** A zone status that was published at [publishedAt] on the process clock. */
    data class StatusReceived(val status: ZoneStatus, val publishedAt: Duration) : RouterMessage

    data class ControlChanged(val view: ControlView) : RouterMessage

    /** Another gateway found a server cold. */
    data class ColdReported(val report: ColdReport) : RouterMessage

    data object Tick : RouterMessage
}

/** What the router's task does after a step. */
sealed interface RouterEffect {
    data class Grant(val ticket: Ticket, val slot: Slot) : RouterEffect

    data class Refuse(val ticket: Ticket, val reason: NotRunReason, val retryAfter: Duration) : RouterEffect

    /** Tell the other gateways. */
    data class ReportCold(val report: ColdReport) : RouterEffect
}
