package redwingcross.version.routing

import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.NotRunReason
import redwingcross.request.ServiceName
import redwingcross.request.admission.FairQueue
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import kotlin.time.Duration

/** A granted slot that has not been released yet. */
data class HeldSlot(val slot: Slot, val request: SlotRequest, val grantedAt: Duration)

/** Number of granted and refused requests of one customer since the start of the process. */
data class CustomerCounts(val granted: Long = 0, val refused: Map<NotRunReason, Long> = emptyMap())

/** State of the [Router]. It is immutable, so request threads may read the latest value at any time. */
data class RouterState(
    val table: RoutingTable,
    val queue: FairQueue<Ticket>,
    val held: Map<SlotId, HeldSlot> = emptyMap(),
    val load: Map<BackendServer, ServerLoad> = emptyMap(),
    val customers: Map<Customer, CustomerCounts> = emptyMap(),
    val nextSlot: Long = 1,
) {
    internal fun loadOf(server: BackendServer): ServerLoad = load[server] ?: ServerLoad()

    /** Number of slots that [customer] holds at servers of [service]. */
    internal fun heldBy(customer: Customer, service: ServiceName): Int =
        held.values.count { it.request.customer == customer && it.request.service == service }

    /**
     * Whether the request that holds slot [id] may be sent to its server at [now]. This repeats every check made at
     * admission, because any of these may have changed since: view, zone, drains, status, generation, boot id, share.
     */
    fun canDispatch(id: SlotId, now: Duration): Boolean {
        val heldSlot = held[id] ?: return false
        val slot = heldSlot.slot
        val requests = loadOf(slot.server).requests
        val group = slot.group ?: return table.canDispatch(heldSlot.request.service, slot.server, requests, now)
        val view = table.statuses.groups[group] ?: return false
        return table.canDispatch(group, slot.generation, slot.incarnation, now) && requests <= table.slots(view, now)
    }

    internal fun grant(held: HeldSlot): RouterState {
        val customer = held.request.customer
        val counts = customers[customer] ?: CustomerCounts()
        return copy(
            held = this.held + (held.slot.id to held),
            load = load + (held.slot.server to loadOf(held.slot.server) + held.request),
            customers = customers + (customer to counts.copy(granted = counts.granted + 1)),
            nextSlot = nextSlot + 1,
        )
    }

    internal fun release(heldSlot: HeldSlot): RouterState {
        val server = heldSlot.slot.server
        val left = loadOf(server) - heldSlot.request
        return copy(
            held = held - heldSlot.slot.id,
            load = if (left.requests == 0) load - server else load + (server to left),
        )
    }

    internal fun countRefusal(customer: Customer, reason: NotRunReason): RouterState {
        val counts = customers[customer] ?: CustomerCounts()
        val refused = counts.refused + (reason to (counts.refused[reason] ?: 0) + 1)
        return copy(customers = customers + (customer to counts.copy(refused = refused)))
    }
}
