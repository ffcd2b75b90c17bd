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

/** Version of an accepted bundle; it rises by one with each acceptance and is never reused. */
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
 * The whole configuration that operators sign off and roll out. Every name in it is canonical: the bundle reader
 * resolves the names of all schemes before it builds this value.
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

/** Another name of something in the bundle, in one of the operators' naming schemes. */
@Serializable
data class Alias(val alias: String, val canonical: String, val kind: NameKind)

/** What a name in the bundle refers to; names of different kinds do not clash. */
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
    /** Whether the engine refuses orders with an old fencing number. */
    val checksFencing: Boolean = true,
)

/** A gateway of the roster. */
@Serializable
data class GatewayEntry(val gateway: ProcessName, val zone: AvailabilityZone, val caller: Endpoint, val peer: Endpoint)

private const val DEFAULT_HELD_BYTES_LIMIT = 8_388_608L

/** A model and the serving groups wanted for it. */
@Serializable
data class ModelEntry(
    val model: ServiceName,
    val modelVersion: String,
    val vmsPerGroup: Int,
    val groupsByZone: Map<AvailabilityZone, Int>,
    /** Fabric domains that may hold its groups; empty means all. */
    val fabricDomains: List<FabricDomain> = emptyList(),
    /** Concurrent requests that a group bears right after its start. */
    val coldLimit: Int,
    /** Concurrent requests that a group bears once it is warm. */
    val warmLimit: Int,
    /** Time of serving after which the limit doubles. */
    val rampStep: Duration = 5.seconds,
    /** Bytes of requests held for one group. */
    val heldBytesLimit: Long = DEFAULT_HELD_BYTES_LIMIT,
)

/** A plain service and its instances. */
@Serializable
data class ServiceEntry(
    val service: ServiceName,
    val instances: List<ServiceInstance>,
    val nonIdempotent: List<CallPattern> = emptyList(),
    val concurrentLimit: Int = 16,
    val timeout: Duration = 10.seconds,
)

/** One process of a plain service. */
@Serializable
data class ServiceInstance(val server: BackendServer, val zone: AvailabilityZone, val endpoint: Endpoint)

/** Calls that must not be repeated: an HTTP method and a path prefix below the service. */
@Serializable
data class CallPattern(val method: String, val pathPrefix: String)

/** A customer and its share of the system. */
@Serializable
data class CustomerEntry(
    val customer: Customer,
    val weight: Int = 1,
    /** Passed to the engines; a larger number is served first. */
    val priority: Int = 0,
    /** Requests of this customer that may wait at one gateway. */
    val queueLimit: Int = 64,
)
