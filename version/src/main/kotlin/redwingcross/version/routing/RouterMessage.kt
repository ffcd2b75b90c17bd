package redwingcross.version.routing

import redwingcross.request.NotRunReason
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import redwingcross.request.slot.SlotResult
import redwingcross.version.control.ControlView
import redwingcross.version.placement.ZoneStatus
import kotlin.time.Duration

/** Identifies one request for a slot. */
@JvmInline
value class Ticket(val value: Long)

/** Input of [Router.step]. */
sealed interface RouterMessage {
    data class Acquire(val ticket: Ticket, val request: SlotRequest) : RouterMessage

    /** The caller no longer waits for a slot. */
    data class Withdraw(val ticket: Ticket) : RouterMessage

    /** The request that held [slot] has ended with [result]. */
    data class Release(val slot: SlotId, val result: SlotResult) : RouterMessage

    /** A zone status was received; it was published at [publishedAt] on the process clock. */
    data class StatusReceived(val status: ZoneStatus, val publishedAt: Duration) : RouterMessage

    data class ControlChanged(val view: ControlView) : RouterMessage

    /** Another gateway reported that a server lost its warm state. */
    data class ColdReported(val report: ColdReport) : RouterMessage

    data object Tick : RouterMessage
}

/** Action that [RouterTask] carries out after a step. */
sealed interface RouterEffect {
    data class Grant(val ticket: Ticket, val slot: Slot) : RouterEffect

    data class Refuse(val ticket: Ticket, val reason: NotRunReason, val retryAfter: Duration) : RouterEffect

    /** Send the report to the other gateways. */
    data class ReportCold(val report: ColdReport) : RouterEffect
}
