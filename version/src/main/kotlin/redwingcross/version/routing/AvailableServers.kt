package redwingcross.version.routing

import redwingcross.request.ServiceName
import redwingcross.request.slot.SlotRequest
import kotlin.math.ceil
import kotlin.time.Duration

/** The servers that can take requests during one step of the router, looked up once for each service. */
internal class AvailableServers(private val table: RoutingTable, private val now: Duration) {
    private val ownZone = table.zone
    private val candidates = mutableMapOf<ServiceName, List<Candidate>>()

    /** Returns the server for [request], or null if none has enough capacity left. */
    fun choose(state: RouterState, request: SlotRequest): Candidate? {
        val free = of(request.service).filter { it.hasSlot(state.loadOf(it.server)) }
        if (free.isEmpty()) return null
        return chooseServer(free, request, ownZone, table.settings.otherZonePenalty, state::loadOf)
    }

    /**
     * Whether the customer of [request] holds less than its weighted share of the service's slots. The share is divided
     * among the customers that hold slots of the service or wait for one, and is at least one slot.
     */
    fun isBelowShare(state: RouterState, request: SlotRequest): Boolean {
        val service = request.service
        val total = of(service).sumOf { it.slots }
        val waiting = state.queue.customers.filter { customer ->
            state.queue.waitingOf(customer).any { it.request.service == service }
        }
        val holding = state.held.values.filter { it.request.service == service }.map { it.request.customer }
        val weights = (waiting + holding).toSet().associateWith { table.index.limitsOf(it).weight }
        val weight = table.index.limitsOf(request.customer).weight
        val share = ceil(total.toDouble() * weight / maxOf(1, weights.values.sum())).toInt()
        return state.heldBy(request.customer, service) < maxOf(1, share)
    }

    private fun of(service: ServiceName): List<Candidate> =
        candidates.getOrPut(service) { table.candidates(service, now) }
}
