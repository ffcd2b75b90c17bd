package redwingcross.version.bundle

import kotlinx.serialization.Serializable
import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Version of an accepted bundle; it increases by one with each accepted bundle and is never reused. */
@Serializable
@JvmInline
value class BundleVersion(val value: Long) : Comparable<BundleVersion> {
    override fun compareTo(other: BundleVersion): Int = value.compareTo(other.value)

    override fun toString(): String = value.toString()
}

/** Name of a set of VMs whose accelerators share a fast interconnect. */
@Serializable
@JvmInline
value class FabricDomain(val value: String) {
    override fun toString(): String = value
}

/** IP address and port of a TCP listener, written `address:port`. */
@Serializable
@JvmInline
value class Endpoint(val value: String) {
    override fun toString(): String = value
}

/**
 * The complete configuration that operators sign off and roll out. All names in it are canonical; [readBundle] resolves
 * names of other schemes before it creates this value.
 */
@Serializable
data class Bundle(
    val name: String,
    val region: String,
    val zones: List<AvailabilityZone>,
    val vms: List<VmEntry>,
    val gateways: List<GatewayEntry>,
    val models: List<ModelEntry>,
    val services: List<ServiceEntry>,
    val customers: List<CustomerEntry>,
    /** Other names of zones, VMs, models, services and customers, each with its canonical name. */
    val aliases: List<Alias> = emptyList(),
)

/** An alternative name of an item of the bundle, from one of the operators' naming schemes. */
@Serializable
data class Alias(val alias: String, val canonical: String, val kind: NameKind)

/** Kind of item that a name refers to. The same name may be used for items of different kinds. */
@Serializable
enum class NameKind { ZONE, VM, SERVICE, CUSTOMER }

/** A VM that runs one model engine. */
@Serializable
data class VmEntry(
    val vm: Vm,
    val zone: AvailabilityZone,
    val fabricDomain: FabricDomain,
    val engine: Endpoint,
    val accelerators: Int,
    /** Whether the engine rejects orders with an outdated fencing number. */
    val checksFencing: Boolean = true,
)

/** A gateway, with its listeners for callers and for other processes of the system. */
@Serializable
data class GatewayEntry(val gateway: ProcessName, val zone: AvailabilityZone, val caller: Endpoint, val peer: Endpoint)

private const val DEFAULT_HELD_BYTES_LIMIT = 8_388_608L

/** A model and its desired number of serving groups in each zone. */
@Serializable
data class ModelEntry(
    val model: ServiceName,
    val modelVersion: String,
    val vmsPerGroup: Int,
    val groupsByZone: Map<AvailabilityZone, Int>,
    /** Fabric domains in which its groups may be placed; empty means all. */
    val fabricDomains: List<FabricDomain> = emptyList(),
    /** Concurrency limit of a group right after its start. */
    val coldLimit: Int,
    /** Concurrency limit of a group once it is warm. */
    val warmLimit: Int,
    /** Serving time after which the limit doubles, up to [warmLimit]. */
    val rampStep: Duration = 5.seconds,
    /** Maximum total size in bytes of the requests held for one group. */
    val heldBytesLimit: Long = DEFAULT_HELD_BYTES_LIMIT,
)

/** A plain service, which runs no model, and its instances. */
@Serializable
data class ServiceEntry(
    val service: ServiceName,
    val instances: List<ServiceInstance>,
    /** Calls that must not be repeated. */
    val nonIdempotent: List<CallPattern> = emptyList(),
    /** Concurrency limit of each instance. */
    val concurrentLimit: Int = 16,
    val timeout: Duration = 10.seconds,
)

/** One process of a plain service. */
@Serializable
data class ServiceInstance(val server: BackendServer, val zone: AvailabilityZone, val endpoint: Endpoint)

/** Calls that must not be repeated, identified by an HTTP method and a path prefix below the service. */
@Serializable
data class CallPattern(val method: String, val pathPrefix: String)

/** A customer; [weight] determines its share of the capacity relative to other customers. */
@Serializable
data class CustomerEntry(
    val customer: Customer,
    val weight: Int = 1,
    /** Sent to the engines; requests with a higher priority are served first. */
    val priority: Int = 0,
    /** Maximum number of requests of this customer that wait at one gateway. */
    val queueLimit: Int = 64,
)
