package redwingcross.request.admission

import redwingcross.request.Customer
import redwingcross.request.slot.SlotRequest
import kotlin.time.Duration

/** What a customer is entitled to at one gateway. */
data class CustomerLimits(
    /** Requests served in one round of the queue; at least 1. */
    val weight: Int = 1,
    /** Requests that may wait. */
    val queueLimit: Int = DEFAULT_QUEUE_LIMIT,
) {
    companion object {
        const val DEFAULT_QUEUE_LIMIT = 64
    }
}

/** A request in the queue; [ticket] is the owner's name for it. */
data class WaitingRequest<Ticket>(val ticket: Ticket, val request: SlotRequest, val since: Duration)

/** The result of [FairQueue.offer]. */
sealed interface EnqueueResult<Ticket> {
    /** The request waits; [evicted] is a request that had to leave the queue for it. */
    data class Queued<Ticket>(val queue: FairQueue<Ticket>, val evicted: WaitingRequest<Ticket>? = null) :
        EnqueueResult<Ticket>

    /** The bound of the customer or of the whole queue is reached. */
    class Full<Ticket> : EnqueueResult<Ticket>
}

/** Requests taken out of the queue, and the queue without them. */
data class Taken<Ticket, Item>(val queue: FairQueue<Ticket>, val taken: Item)

/**
 * Requests that wait for a slot, by customer, served by weighted deficit round robin: while a customer waits for
 * something that can be served, every other customer gets at most its weight between two of its grants. Among the
 * requests of a customer the higher priority goes first, then the longer wait. An instance is immutable.
 */
class FairQueue<Ticket> private constructor(
    private val totalLimit: Int,
    private val lanes: Map<Customer, Lane<Ticket>>,
    /** Customers with waiting requests, the next one to be served first. */
    private val ring: List<Customer>,
) {
    /** A queue for at most [totalLimit] requests. */
    constructor(totalLimit: Int) : this(totalLimit, emptyMap(), emptyList())

    /** Number of waiting requests. */
    val size: Int get() = lanes.values.sumOf { it.waiting.size }

    /** Customers with waiting requests. */
    val customers: List<Customer> get() = ring

    /** The waiting requests of [customer], the next one to be served first. */
    fun waitingOf(customer: Customer): List<WaitingRequest<Ticket>> = lanes[customer]?.waiting.orEmpty()

    /** Every waiting request. */
    fun all(): List<WaitingRequest<Ticket>> = ring.flatMap(::waitingOf)

    /**
     * Adds a request. [limits] replace those that the customer's earlier requests came with. In a full lane it takes
     * the place of a request with a lower priority; in a full queue, that of a customer that uses more of it per
     * weight.
     */
    fun offer(waiting: WaitingRequest<Ticket>, limits: CustomerLimits): EnqueueResult<Ticket> {
        val customer = waiting.request.customer
        val lane = lanes[customer] ?: Lane(limits.weight, credit = 0, waiting = emptyList())
        val evicted = when {
            lane.waiting.size >= limits.queueLimit ->
                lane.waiting.lastOrNull()?.takeIf { it.request.priority < waiting.request.priority }
                    ?: return EnqueueResult.Full()
            size >= totalLimit -> heaviestBeside(customer, (lane.waiting.size + 1.0) / limits.weight)
                ?: return EnqueueResult.Full()
            else -> null
        }
        val rest = if (evicted == null) this else removeAll { it.ticket == evicted.ticket }.queue
        return EnqueueResult.Queued(rest.insert(waiting, limits), evicted)
    }

    /** The last request of the customer that uses most of the queue per weight, if that is more than [load]. */
    private fun heaviestBeside(customer: Customer, load: Double): WaitingRequest<Ticket>? = lanes
        .filterKeys { it != customer }
        .values
        .maxByOrNull { it.waiting.size.toDouble() / it.weight }
        ?.takeIf { it.waiting.size.toDouble() / it.weight > load }
        ?.waiting
        ?.last()

    private fun insert(waiting: WaitingRequest<Ticket>, limits: CustomerLimits): FairQueue<Ticket> {
        val customer = waiting.request.customer
        val lane = lanes[customer] ?: Lane(limits.weight, credit = 0, waiting = emptyList())
        val behind = lane.waiting.indexOfFirst { it.request.priority < waiting.request.priority }
        val position = if (behind < 0) lane.waiting.size else behind
        val next = lane.waiting.subList(0, position) + waiting + lane.waiting.subList(position, lane.waiting.size)
        val nextRing = if (customer in lanes) ring else ring + customer
        return with(lanes + (customer to lane.copy(weight = limits.weight, waiting = next)), nextRing)
    }

    /** Takes the next request in turn for which [servable] holds; null if there is none. */
    fun next(servable: (WaitingRequest<Ticket>) -> Boolean): Taken<Ticket, WaitingRequest<Ticket>>? {
        for (customer in ring) {
            val lane = lanes.getValue(customer)
            val first = lane.waiting.firstOrNull(servable) ?: continue
            return Taken(serve(customer, lane, first), first)
        }
        return null
    }

    /** Takes every request for which [condition] holds. */
    fun removeAll(condition: (WaitingRequest<Ticket>) -> Boolean): Taken<Ticket, List<WaitingRequest<Ticket>>> {
        val taken = all().filter(condition)
        if (taken.isEmpty()) return Taken(this, taken)
        val gone = taken.map { it.ticket }.toSet()
        val kept = lanes.mapValues { (_, lane) -> lane.copy(waiting = lane.waiting.filter { it.ticket !in gone }) }
            .filterValues { it.waiting.isNotEmpty() }
        return Taken(with(kept, ring.filter { it in kept }), taken)
    }

    /** A customer that was passed over keeps its place in the ring, so that it is served as soon as it can be. */
    private fun serve(customer: Customer, lane: Lane<Ticket>, served: WaitingRequest<Ticket>): FairQueue<Ticket> {
        val left = lane.waiting - served
        if (left.isEmpty()) return with(lanes - customer, ring - customer)
        val credit = (if (lane.credit > 0) lane.credit else lane.weight) - 1
        val nextRing = if (credit > 0) ring else ring - customer + customer
        return with(lanes + (customer to lane.copy(credit = credit, waiting = left)), nextRing)
    }

    private fun with(lanes: Map<Customer, Lane<Ticket>>, ring: List<Customer>) = FairQueue(totalLimit, lanes, ring)

    private data class Lane<Ticket>(
        val weight: Int,
        /** Requests that the customer may still be granted in this round; 0 at the start of a round. */
        val credit: Int,
        val waiting: List<WaitingRequest<Ticket>>,
    )
}
