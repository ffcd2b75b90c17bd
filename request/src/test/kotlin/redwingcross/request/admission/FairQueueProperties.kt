package redwingcross.request.admission

import net.jqwik.api.Arbitraries
import net.jqwik.api.Arbitrary
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.Provide
import redwingcross.request.Customer
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.slot.SlotRequest
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration

/** Guards against starvation of customers by a customer with more requests, and against a queue above its limits. */
class FairQueueProperties {
    /** Each number in [actions] adds a request of a customer or serves one; which services have a free slot varies. */
    @Property(seed = "20261204", tries = 500)
    fun `while a customer waits each other customer is served at most as often as its weight`(
        @ForAll("weights") weights: List<Int>,
        @ForAll("actions") actions: List<Int>,
    ) {
        var queue = FairQueue<Int>(TOTAL_LIMIT)
        val waiting = mutableListOf<WaitingRequest<Int>>()
        val grantsWhileWaiting = mutableMapOf<Pair<Customer, Customer>, Int>()
        actions.forEachIndexed { ticket, action ->
            val customers = weights.indices.map { Customer("customer-$it") }
            if (action < 36) {
                val customer = customers[action % customers.size]
                val next = WaitingRequest(ticket, requestOf(customer, action), Duration.ZERO)
                when (val offered = queue.offer(next, CustomerLimits(weights[action % customers.size], QUEUE_LIMIT))) {
                    is EnqueueResult.Queued -> {
                        queue = offered.queue
                        waiting += next
                        offered.evicted?.let { waiting -= it }
                    }
                    is EnqueueResult.Full -> assertTrue(
                        queue.size == TOTAL_LIMIT || queue.waitingOf(customer).size == QUEUE_LIMIT,
                    )
                }
            } else {
                val isFree = { service: ServiceName -> action % 3 == 0 || service.value == "service-${action % 2}" }
                val eligible = waiting.filter { isFree(it.request.service) }
                val taken = queue.next { isFree(it.request.service) }
                assertEquals(eligible.isEmpty(), taken == null)
                if (taken == null) return@forEachIndexed
                val served = taken.taken
                queue = taken.queue
                waiting -= served
                val own = eligible.filter { it.request.customer == served.request.customer }
                assertEquals(own.maxWith(compareBy({ it.request.priority }, { -it.ticket })), served)
                grantsWhileWaiting.keys.removeAll { it.first == served.request.customer }
                eligible.map { it.request.customer }.toSet().minus(served.request.customer).forEach { other ->
                    val count = grantsWhileWaiting.merge(other to served.request.customer, 1, Int::plus)!!
                    val weight = weights[customers.indexOf(served.request.customer)]
                    assertTrue(count <= weight, "$other waited while ${served.request.customer} got $count of $weight")
                }
            }
            assertEquals(waiting.toSet(), queue.all().toSet())
            assertTrue(queue.size <= TOTAL_LIMIT && customers.all { queue.waitingOf(it).size <= QUEUE_LIMIT })
        }
    }

    @Provide
    fun weights(): Arbitrary<List<Int>> = Arbitraries.integers().between(1, 4).list().ofMinSize(2).ofMaxSize(5)

    @Provide
    fun actions(): Arbitrary<List<Int>> = Arbitraries.integers().between(0, 59).list().ofMaxSize(400)

    private fun requestOf(customer: Customer, action: Int) = SlotRequest(
        RequestId("request"),
        customer,
        ServiceName("service-${action / 6 % 2}"),
        priority = action / 12,
        heldBytes = 0,
        deadline = Duration.INFINITE,
    )

    private companion object {
        const val TOTAL_LIMIT = 20
        const val QUEUE_LIMIT = 8
    }
}
