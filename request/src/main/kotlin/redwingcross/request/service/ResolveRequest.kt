package redwingcross.request.service

import redwingcross.request.Customer
import redwingcross.request.NotRunReason
import redwingcross.request.ServiceName
import kotlin.time.Duration

/** What a caller named, in any of the operators' naming schemes. */
sealed interface RequestedCall {
    /** Customer name as sent by the caller. */
    val customer: String

    data class OfModel(override val customer: String, val model: String) : RequestedCall

    data class OfService(
        override val customer: String,
        val service: String,
        val method: String,
        /** Path below the service, without the query, starting with `/`. */
        val path: String,
    ) : RequestedCall
}

/** The canonical names behind a [RequestedCall] and how to treat it. */
sealed interface ResolvedCall {
    data class Resolved(
        val customer: Customer,
        val service: ServiceName,
        /** The customer's priority; a larger number is served first. */
        val priority: Int,
        /** True if the call must run at most once. */
        val isNonIdempotent: Boolean,
        /** Longest duration of the whole request, waiting included. */
        val timeout: Duration,
    ) : ResolvedCall

    data class UnknownCustomer(val name: String) : ResolvedCall

    /** No model or service has this name. */
    data class UnknownService(val name: String) : ResolvedCall

    /** Names can't be resolved now, for example because no bundle is known yet. */
    data class Unavailable(val reason: NotRunReason) : ResolvedCall
}

/** Resolves the names that a caller used. */
typealias ResolveRequest = (RequestedCall) -> ResolvedCall
