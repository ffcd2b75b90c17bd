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

/**
 * Resolves the customer, model or service names of a call against the bundle in force. The name index is built once
 * for each bundle. [modelTimeout] is the timeout of every model call; a service call has the timeout of its service.
 */
internal class CallResolver(private val readView: () -> ControlView, private val modelTimeout: Duration) {
    private class BundleIndex(val bundle: Bundle, val names: NamedServices)

    /** Index of the latest bundle. Needs no lock: concurrent requests build equal indexes, and the last one stays. */
    @Volatile
    private var cachedIndex: BundleIndex? = null

    /** Returns the resolved call, or why it cannot be resolved; without a bundle the result is `Unavailable`. */
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
        val current = cachedIndex
        if (current != null && current.bundle === bundle) return current.names
        return NamedServices(bundle).also { cachedIndex = BundleIndex(bundle, it) }
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
