package redwingcross.version.bundle

import redwingcross.request.Customer
import redwingcross.request.ServiceName

/** Looks up the customers, models and services of one bundle by the names that callers use, in any scheme. */
class NamedServices(bundle: Bundle) {
    private val names = NameIndex.of(bundle)
    private val customers = bundle.customers.associateBy { it.customer }
    private val models = bundle.models.associateBy { it.model }
    private val services = bundle.services.associateBy { it.service }

    /** The customer called [name], or null when the name is unknown or ambiguous. */
    fun customer(name: String): CustomerEntry? =
        names.canonical(NameKind.CUSTOMER, name)?.let { customers[Customer(it)] }

    /** The model called [name], or null when the name is unknown, ambiguous or that of a plain service. */
    fun model(name: String): ModelEntry? = names.canonical(NameKind.SERVICE, name)?.let { models[ServiceName(it)] }

    /** The plain service called [name], or null when the name is unknown, ambiguous or that of a model. */
    fun service(name: String): ServiceEntry? =
        names.canonical(NameKind.SERVICE, name)?.let { services[ServiceName(it)] }
}

/** Whether a call must run at most once. A prefix matches whole path segments only. */
fun ServiceEntry.isNonIdempotent(method: String, path: String): Boolean = nonIdempotent.any { pattern ->
    val prefix = pattern.pathPrefix.trimEnd('/')
    pattern.method == method.uppercase() && (path == prefix || path.startsWith("$prefix/") || prefix.isEmpty())
}
