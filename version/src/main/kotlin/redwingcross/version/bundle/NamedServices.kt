package redwingcross.version.bundle

import redwingcross.request.Customer
import redwingcross.request.ServiceName

/** Looks up the customers, models and services of a bundle by their name in any scheme, as used by callers. */
class NamedServices(bundle: Bundle) {
    private val names = NameIndex.of(bundle)
    private val customers = bundle.customers.associateBy { it.customer }
    private val models = bundle.models.associateBy { it.model }
    private val services = bundle.services.associateBy { it.service }

    /** Returns the customer named [name], or null if the name is unknown or ambiguous. */
    fun customer(name: String): CustomerEntry? =
        names.canonical(NameKind.CUSTOMER, name)?.let { customers[Customer(it)] }

    /** Returns the model named [name], or null if the name is unknown, ambiguous or belongs to a plain service. */
    fun model(name: String): ModelEntry? = names.canonical(NameKind.SERVICE, name)?.let { models[ServiceName(it)] }

    /** Returns the plain service named [name], or null if the name is unknown, ambiguous or belongs to a model. */
    fun service(name: String): ServiceEntry? =
        names.canonical(NameKind.SERVICE, name)?.let { services[ServiceName(it)] }
}

/** Whether a call must run at most once. The configured prefixes match whole path segments only. */
fun ServiceEntry.isNonIdempotent(method: String, path: String): Boolean = nonIdempotent.any { pattern ->
    val prefix = pattern.pathPrefix.trimEnd('/')
    pattern.method == method.uppercase() && (path == prefix || path.startsWith("$prefix/") || prefix.isEmpty())
}
