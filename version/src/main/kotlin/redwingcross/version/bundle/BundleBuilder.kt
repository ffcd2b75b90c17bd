package redwingcross.version.bundle

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Prevents access to an outer bundle builder from within a nested one. */
@DslMarker
annotation class BundleDsl

/** Builds a bundle that contains only canonical names and no aliases. It is not checked, see [checkBundle]. */
fun bundle(name: String, region: String = name, block: BundleBuilder.() -> Unit): Bundle =
    BundleBuilder(name, region).apply(block).build()

/** Receiver of [bundle]. */
@BundleDsl
class BundleBuilder internal constructor(private val name: String, private val region: String) {
    private val zones = mutableListOf<AvailabilityZone>()
    private val vms = mutableListOf<VmEntry>()
    private val gateways = mutableListOf<GatewayEntry>()
    private val models = mutableListOf<ModelEntry>()
    private val services = mutableListOf<ServiceEntry>()
    private val customers = mutableListOf<CustomerEntry>()

    /** Declares an availability zone with its VMs and gateways. */
    fun zone(name: String, block: ZoneBuilder.() -> Unit = {}) {
        val zone = AvailabilityZone(name)
        zones += zone
        ZoneBuilder(zone, vms, gateways).apply(block)
    }

    /** Declares a model; [groups] contains the desired number of serving groups by zone. */
    fun model(
        name: String,
        vmsPerGroup: Int,
        groups: Map<String, Int>,
        coldLimit: Int = 2,
        warmLimit: Int = 16,
        rampStep: Duration = 5.seconds,
        modelVersion: String = "1",
    ) {
        models += ModelEntry(
            model = ServiceName(name),
            modelVersion = modelVersion,
            vmsPerGroup = vmsPerGroup,
            groupsByZone = groups.mapKeys { AvailabilityZone(it.key) },
            coldLimit = coldLimit,
            warmLimit = warmLimit,
            rampStep = rampStep,
        )
    }

    /** Declares a plain service. */
    fun service(name: String, block: ServiceBuilder.() -> Unit) {
        services += ServiceBuilder(ServiceName(name)).apply(block).build()
    }

    /** Declares a customer. */
    fun customer(name: String, weight: Int = 1, priority: Int = 0, queueLimit: Int = 64) {
        customers += CustomerEntry(Customer(name), weight, priority, queueLimit)
    }

    internal fun build(): Bundle = Bundle(name, region, zones, vms, gateways, models, services, customers)
}

/** Receiver of [BundleBuilder.zone]. */
@BundleDsl
class ZoneBuilder internal constructor(
    private val zone: AvailabilityZone,
    private val vms: MutableList<VmEntry>,
    private val gateways: MutableList<GatewayEntry>,
) {
    /** Declares a VM with a model engine. */
    fun vm(name: String, fabricDomain: String, engine: String, accelerators: Int = 8, checksFencing: Boolean = true) {
        vms += VmEntry(Vm(name), zone, FabricDomain(fabricDomain), Endpoint(engine), accelerators, checksFencing)
    }

    /** Declares a gateway with its listeners for callers and for other processes of the system. */
    fun gateway(name: String, caller: String, peer: String) {
        gateways += GatewayEntry(ProcessName(name), zone, Endpoint(caller), Endpoint(peer))
    }
}

/** Receiver of [BundleBuilder.service]. */
@BundleDsl
class ServiceBuilder internal constructor(private val service: ServiceName) {
    private val instances = mutableListOf<ServiceInstance>()
    private val nonIdempotent = mutableListOf<CallPattern>()

    /** Concurrency limit of each instance. */
    var concurrentLimit: Int = 16

    /** Time after which a call is cancelled. */
    var timeout: Duration = 10.seconds

    /** Declares an instance of the service. */
    fun instance(server: String, zone: String, endpoint: String) {
        instances += ServiceInstance(BackendServer(server), AvailabilityZone(zone), Endpoint(endpoint))
    }

    /** Marks calls that must not be repeated. */
    fun nonIdempotent(method: String, pathPrefix: String) {
        nonIdempotent += CallPattern(method, pathPrefix)
    }

    internal fun build(): ServiceEntry = ServiceEntry(service, instances, nonIdempotent, concurrentLimit, timeout)
}
