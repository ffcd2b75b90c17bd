package redwingcross.version.admission

import redwingcross.request.Customer

/**
 * Slots that customers got while requests of a kind waited. Answers the load of a few large customers in a shortage:
 * served in the order of arrival, their requests would take nearly all slots.
 *
 * The next slot goes to the waiting customer that got the fewest, which makes the shares max-min fair: a customer gets
 * less than another one only if it asks for less.
 */
data class FairShares(private val granted: Map<Customer?, Int> = emptyMap()) {
    /** Adds a customer that begins to wait. It gets no slots in advance for the time in which it didn't wait. */
    fun joined(customer: Customer?): FairShares =
        if (customer in granted) this else FairShares(granted + (customer to (granted.values.minOrNull() ?: 0)))

    /** Counts a slot that [customer] got. */
    fun granted(customer: Customer?): FairShares = FairShares(granted + (customer to grants(customer) + 1))

    /** Slots that [customer] got since requests of the kind began to wait. */
    fun grants(customer: Customer?): Int = granted[customer] ?: 0

    /** Forgets all customers except [waiting]. */
    fun retain(waiting: Set<Customer?>): FairShares =
        if (granted.keys.all { it in waiting }) this else FairShares(granted.filterKeys { it in waiting })
}
