package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.request.admission.CustomerLimits
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.ServiceInstance

/** Lookup maps over a bundle, built once for each bundle because the router reads them for every request. */
class BundleIndex internal constructor(bundle: Bundle?) {
    internal val vmZones: Map<Vm, AvailabilityZone> = bundle?.vms.orEmpty().associate { it.vm to it.zone }
    internal val gatewayZones: Map<ProcessName, AvailabilityZone> = bundle?.gateways.orEmpty().associate {
        it.gateway to it.zone
    }
    internal val models: Set<ServiceName> = bundle?.models.orEmpty().map { it.model }.toSet()
    internal val instances: Map<ServiceName, List<ServiceInstance>> =
        bundle?.services.orEmpty().associate { it.service to it.instances }
    internal val servers: Set<BackendServer> =
        (vmZones.keys.map { BackendServer(it.value) } + instances.values.flatten().map { it.server }).toSet()
    private val customers: Map<Customer, CustomerLimits> = bundle?.customers.orEmpty()
        .associate { it.customer to CustomerLimits(it.weight.coerceAtLeast(1), it.queueLimit) }

    /** Weight and queue limit of [customer]; a customer that is not in the bundle gets the smallest weight. */
    internal fun limitsOf(customer: Customer): CustomerLimits = customers[customer] ?: CustomerLimits()

    internal fun isKnown(customer: Customer): Boolean = customer in customers
}
