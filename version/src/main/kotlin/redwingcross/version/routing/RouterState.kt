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

/** A granted slot that was not given back yet. */
data class HeldSlot(val slot: Slot, val request: SlotRequest, val grantedAt: Duration)

/** Requests of one customer since the start of the process. */
data class CustomerCounts(val granted: Long = 0, val refused: Map<NotRunReason, Long> = emptyMap())

/** The state of the [Router]. It is immutable, so request threads may read the newest one at any time. */
data class RouterState(
    val table: RoutingTable,
    val queue: FairQueue<Ticket>,
    val held: Map<SlotId, HeldSlot> = emptyMap(),
    val load: Map<BackendServer, ServerLoad> = emptyMap(),
    val customers: Map<Customer, CustomerCounts> = emptyMap(),
    val nextSlot: Long = 1,
) {
    internal fun loadOf(server: BackendServer): ServerLoad = load[server] ?: ServerLoad()

    /** Slots that [customer] holds at servers of [service]. */
    internal fun heldBy(customer: Customer, service: ServiceName): Int =
        held.values.count { it.request.customer == customer && it.request.service == service }

    /**
     * Whether the first byte of the request that holds [id] may be sent at [now]. It repeats every check of admission,
     * because time and control state may have changed since: view, zone, drains, status, generation, boot id and share.
     */
    fun mayDispatch(id: SlotId, now: Duration): Boolean {
        val holder = held[id] ?: return false
        val slot = holder.slot
        val requests = loadOf(slot.server).requests
        val group = slot.group ?: return table.mayDispatch(holder.request.service, slot.server, requests, now)
        val view = table.statuses.groups[group] ?: return false
        return table.mayDispatch(group, slot.generation, slot.incarnation, now) && requests <= table.slots(view, now)
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

    internal fun giveBack(holder: HeldSlot): RouterState {
        val server = holder.slot.server
        val left = loadOf(server) - holder.request
        return copy(
            held = held - holder.slot.id,
            load = if (left.requests == 0) load - server else load + (server to left),
        )
    }

    internal fun countRefusal(customer: Customer, reason: NotRunReason): RouterState {
        val counts = customers[customer] ?: CustomerCounts()
        val refused = counts.refused + (reason to (counts.refused[reason] ?: 0) + 1)
        return copy(customers = customers + (customer to counts.copy(refused = refused)))
    }
}
