package redwingcross.gateway

import redwingcross.request.NotRunReason
import redwingcross.request.service.RequestedCall
import redwingcross.request.service.ResolvedCall
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.CustomerEntry
import redwingcross.version.bundle.NamedServices
import redwingcross.version.bundle.isNonIdempotent
import redwingcross.version.control.ControlView
import kotlin.time.Duration

/** Resolves callers' names against the bundle in force; the index of names lives as long as the bundle's version. */
internal class CallResolver(private val readView: () -> ControlView, private val modelTimeout: Duration) {
    private class Indexed(val bundle: Bundle, val names: NamedServices)

    /** Replaced as a whole; two requests that race build the same index. */
    @Volatile
    private var indexed: Indexed? = null

    fun resolve(call: RequestedCall): ResolvedCall {
        val bundle = readView().control.bundle?.bundle ?: return ResolvedCall.Unavailable(NotRunReason.STALE_VIEW)
        val names = namesOf(bundle)
        val customer = names.customer(call.customer) ?: return ResolvedCall.UnknownCustomer(call.customer)
        return when (call) {
            is RequestedCall.OfModel -> resolveModel(names, customer, call)
            is RequestedCall.OfService -> resolveService(names, customer, call)
        }
    }

    private fun namesOf(bundle: Bundle): NamedServices {
        val current = indexed
        if (current != null && current.bundle === bundle) return current.names
        return NamedServices(bundle).also { indexed = Indexed(bundle, it) }
    }

    private fun resolveModel(names: NamedServices, customer: CustomerEntry, call: RequestedCall.OfModel): ResolvedCall {
        val model = names.model(call.model) ?: return ResolvedCall.UnknownService(call.model)
        return ResolvedCall.Resolved(
            customer = customer.customer,
            service = model.model,
            priority = customer.priority,
            isNonIdempotent = false,
            timeout = modelTimeout,
        )
    }

    private fun resolveService(
        names: NamedServices,
        customer: CustomerEntry,
        call: RequestedCall.OfService,
    ): ResolvedCall {
        val service = names.service(call.service) ?: return ResolvedCall.UnknownService(call.service)
        return ResolvedCall.Resolved(
            customer = customer.customer,
            service = service.service,
            priority = customer.priority,
            isNonIdempotent = service.isNonIdempotent(call.method, call.path),
            timeout = service.timeout,
        )
    }
}
