package redwingcross.request.service

import redwingcross.request.Customer
import redwingcross.request.NotRunReason
import redwingcross.request.ServiceName
import kotlin.time.Duration

/** Names used in a request, in any of the operators' naming schemes. */
sealed interface RequestedCall {
    /** Customer name as sent by the caller. */
    val customer: String

    /** Request to a model. */
    data class OfModel(override val customer: String, val model: String) : RequestedCall

    /** Call of a plain service. */
    data class OfService(
        override val customer: String,
        val service: String,
        val method: String,
        /** Path below the service, without the query; starts with `/`. */
        val path: String,
    ) : RequestedCall
}

/** Result of resolving a [RequestedCall]: its canonical names and how to run it, or why it can't be resolved. */
sealed interface ResolvedCall {
    /** All names were resolved. */
    data class Resolved(
        val customer: Customer,
        val service: ServiceName,
        /** Priority of the customer; larger numbers are served first. */
        val priority: Int,
        /** Whether the call must run at most once. */
        val isNonIdempotent: Boolean,
        /** Maximum duration of the whole request, including the time in the queue. */
        val timeout: Duration,
    ) : ResolvedCall

    /** There is no customer with this name. */
    data class UnknownCustomer(val name: String) : ResolvedCall

    /** There is no model or service with this name. */
    data class UnknownService(val name: String) : ResolvedCall

    /** Names can't be resolved at the moment, for example because no bundle has been received yet. */
    data class Unavailable(val reason: NotRunReason) : ResolvedCall
}

/** Resolves the names used in a request to canonical names. */
typealias ResolveRequest = (RequestedCall) -> ResolvedCall
