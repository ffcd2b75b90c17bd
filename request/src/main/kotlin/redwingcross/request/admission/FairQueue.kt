package redwingcross.request.admission

import redwingcross.request.Customer
import redwingcross.request.slot.SlotRequest
import kotlin.time.Duration

/** Limits of a customer at one gateway. */
data class CustomerLimits(
    /** Maximum number of requests served in one round of the queue; at least 1. */
    val weight: Int = 1,
    /** Maximum number of waiting requests. */
    val queueLimit: Int = DEFAULT_QUEUE_LIMIT,
) {
    companion object {
        const val DEFAULT_QUEUE_LIMIT = 64
    }
}

/** A request in the queue. [ticket] identifies it to the owner of the queue; [since] is the time of its arrival. */
data class WaitingRequest<Ticket>(val ticket: Ticket, val request: SlotRequest, val since: Duration)

/** Result of [FairQueue.offer]. */
sealed interface EnqueueResult<Ticket> {
    /** The request was added. [evicted] is the request that was removed to make room for it, if any. */
    data class Queued<Ticket>(val queue: FairQueue<Ticket>, val evicted: WaitingRequest<Ticket>? = null) :
        EnqueueResult<Ticket>

    /** The request was not added, because the limit of the customer or of the whole queue is reached. */
    class Full<Ticket> : EnqueueResult<Ticket>
}

/** Requests removed from the queue, and the queue without them. */
data class Taken<Ticket, Item>(val queue: FairQueue<Ticket>, val taken: Item)

/**
 * Immutable queue of requests that wait for a slot, served by weighted deficit round robin over the customers.
 *
 * While a customer waits for something that can be served, any other customer is served at most as often as its weight
 * between two requests of the waiting customer. Requests of the same customer are served by priority, the highest
 * first, and then in order of arrival.
 */
class FairQueue<Ticket> private constructor(
    private val totalLimit: Int,
    private val queues: Map<Customer, CustomerQueue<Ticket>>,
    /** Customers with waiting requests, in the order in which they are served. */
    private val servingOrder: List<Customer>,
) {
    /** Creates an empty queue for at most [totalLimit] requests. */
    constructor(totalLimit: Int) : this(totalLimit, emptyMap(), emptyList())

    /** Number of waiting requests. */
    val size: Int get() = queues.values.sumOf { it.waiting.size }

    /** Customers with waiting requests, in the order in which they are served. */
    val customers: List<Customer> get() = servingOrder

    /** Waiting requests of [customer], in the order in which they are served. */
    fun waitingOf(customer: Customer): List<WaitingRequest<Ticket>> = queues[customer]?.waiting.orEmpty()

    /** All waiting requests. */
    fun all(): List<WaitingRequest<Ticket>> = servingOrder.flatMap(::waitingOf)

    /**
     * Adds a request. [limits] replace the limits given with earlier requests of the customer.
     *
     * If the customer's limit is reached, the request replaces the customer's last one, provided that one has a lower
     * priority. If the whole queue is full, it replaces the last request of the customer with the most waiting requests
     * per weight, provided that customer uses more of the queue than this one would.
     */
    fun offer(waiting: WaitingRequest<Ticket>, limits: CustomerLimits): EnqueueResult<Ticket> {
        val customer = waiting.request.customer
        val queue = queues[customer] ?: CustomerQueue(limits.weight, credit = 0, waiting = emptyList())
        val evicted = when {
            queue.waiting.size >= limits.queueLimit ->
                queue.waiting.lastOrNull()?.takeIf { it.request.priority < waiting.request.priority }
                    ?: return EnqueueResult.Full()
            size >= totalLimit -> lastOfHeaviestOther(customer, (queue.waiting.size + 1.0) / limits.weight)
                ?: return EnqueueResult.Full()
            else -> null
        }
        val rest = if (evicted == null) this else removeAll { it.ticket == evicted.ticket }.queue
        return EnqueueResult.Queued(rest.insert(waiting, limits), evicted)
    }

    /** Last request of the other customer with the most waiting requests per weight, if they are more than [load]. */
    private fun lastOfHeaviestOther(customer: Customer, load: Double): WaitingRequest<Ticket>? = queues
        .filterKeys { it != customer }
        .values
        .maxByOrNull { it.waiting.size.toDouble() / it.weight }
        ?.takeIf { it.waiting.size.toDouble() / it.weight > load }
        ?.waiting
        ?.last()

    private fun insert(waiting: WaitingRequest<Ticket>, limits: CustomerLimits): FairQueue<Ticket> {
        val customer = waiting.request.customer
        val queue = queues[customer] ?: CustomerQueue(limits.weight, credit = 0, waiting = emptyList())
        val lowerPriority = queue.waiting.indexOfFirst { it.request.priority < waiting.request.priority }
        val position = if (lowerPriority < 0) queue.waiting.size else lowerPriority
        val next = queue.waiting.subList(0, position) + waiting + queue.waiting.subList(position, queue.waiting.size)
        val nextOrder = if (customer in queues) servingOrder else servingOrder + customer
        return with(queues + (customer to queue.copy(weight = limits.weight, waiting = next)), nextOrder)
    }

    /** Removes the next request in serving order for which [canServe] is true; null if there is none. */
    fun next(canServe: (WaitingRequest<Ticket>) -> Boolean): Taken<Ticket, WaitingRequest<Ticket>>? {
        for (customer in servingOrder) {
            val queue = queues.getValue(customer)
            val first = queue.waiting.firstOrNull(canServe) ?: continue
            return Taken(serve(customer, queue, first), first)
        }
        return null
    }

    /** Removes all requests for which [condition] is true. */
    fun removeAll(condition: (WaitingRequest<Ticket>) -> Boolean): Taken<Ticket, List<WaitingRequest<Ticket>>> {
        val taken = all().filter(condition)
        if (taken.isEmpty()) return Taken(this, taken)
        val removed = taken.map { it.ticket }.toSet()
        val kept = queues
            .mapValues { (_, queue) -> queue.copy(waiting = queue.waiting.filter { it.ticket !in removed }) }
            .filterValues { it.waiting.isNotEmpty() }
        return Taken(with(kept, servingOrder.filter { it in kept }), taken)
    }

    /** Customers that were skipped keep their position in the serving order, so they are served as soon as possible. */
    private fun serve(
        customer: Customer,
        queue: CustomerQueue<Ticket>,
        served: WaitingRequest<Ticket>,
    ): FairQueue<Ticket> {
        val left = queue.waiting - served
        if (left.isEmpty()) return with(queues - customer, servingOrder - customer)
        val credit = (if (queue.credit > 0) queue.credit else queue.weight) - 1
        val nextOrder = if (credit > 0) servingOrder else servingOrder - customer + customer
        return with(queues + (customer to queue.copy(credit = credit, waiting = left)), nextOrder)
    }

    private fun with(queues: Map<Customer, CustomerQueue<Ticket>>, servingOrder: List<Customer>) =
        FairQueue(totalLimit, queues, servingOrder)

    private data class CustomerQueue<Ticket>(
        val weight: Int,
        /** Number of requests that can still be served in this round; 0 if the customer's round has not started. */
        val credit: Int,
        val waiting: List<WaitingRequest<Ticket>>,
    )
}
