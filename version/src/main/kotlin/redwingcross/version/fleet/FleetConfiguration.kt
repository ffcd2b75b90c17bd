package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.Customer
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.request.forward.Repeatability
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Version of the operator's configuration; it increases, not always by one. */
@JvmInline
value class ConfigurationVersion(val value: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = value.compareTo(other.value)
}

/** A complete operator configuration: routes, services, limits for callers and tenants. */
data class FleetConfiguration(
    val version: ConfigurationVersion,
    val routes: List<Route>,
    val services: Map<ServiceName, ServiceSpec>,
    val limits: CallerLimits,
    val tenants: List<Tenant>,
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, sameHost) -> sameHost.sortedByDescending { it.pathPrefix.length } }
    private val tenantsByKey = tenants.flatMap { tenant -> tenant.keys.map { it to tenant } }.toMap()

    /** States only the version, so that no API key gets into a log. */
    override fun toString(): String = "FleetConfiguration(version=${version.value})"

    /** Whether callers have to present an API key. */
    val requiresKeys: Boolean get() = tenants.isNotEmpty()

    /** The route of [host] whose path prefix is the longest one that matches [path]; null if none matches. */
    fun route(host: String, path: String): Route? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The tenant that owns the API key [key]; null if the key is unknown. */
    fun tenant(key: String): Tenant? = tenantsByKey[key]
}

/** A route: which requests it matches, the services they are sent to and their limits. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repeatability: Repeatability,
    /** Upper limit of the time until a request is answered. */
    val timeout: Duration,
    /** Maximum number of back ends to which one attempt of a caller may be sent. */
    val maximumSends: Int,
    /** 0 is the most urgent. */
    val priority: Int,
    /** Whether requests without an API key are accepted. */
    val anonymous: Boolean,
    val destinations: List<Destination>,
    /** Objective for the response, for a stream for its first event; null if the operator states none. */
    val targetLatency: Duration? = null,
) {
    /** Chooses the service for one request according to the weights; null if the route has no destination. */
    fun pickService(random: Random): ServiceName? {
        val total = destinations.sumOf { it.weight }
        if (total <= 0) return destinations.firstOrNull()?.service
        var left = random.nextInt(total)
        return destinations.firstOrNull { destination ->
            left -= destination.weight
            left < 0
        }?.service
    }
}

/** A service and its weight in the traffic split of a route. */
data class Destination(val service: ServiceName, val weight: Int)

/** Limits on what a caller may send. The defaults apply before the first configuration and to fields it omits. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Long = 4_194_304,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)

/** A customer and the API keys of its callers. */
data class Tenant(val name: Customer, val keys: List<String>, val priority: Int?)

/** Configured properties of a service to which routes send requests. */
data class ServiceSpec(
    val name: ServiceName,
    /** Maximum number of connections that one back end accepts from all gateways together. */
    val maximumConnections: Int,
    /** How long a back end counts as cold, for example after its zone returned to service. */
    val coldDuration: Duration,
    /** Requests per second that a cold back end can take from all gateways together; 0 if it is never cold. */
    val coldRequestsPerSecond: Double,
    /** Null unless the back ends are model engines. */
    val pool: ModelPool?,
    /** Null unless the platform offers to change the number of back ends; the product does not use it. */
    val scaling: ScalingSpec? = null,
) {
    /**
     * Number of idle connections that each of [gateways] gateways may keep open to a back end. Half of the back end's
     * connection limit is reserved for requests in flight, because it resets every connection beyond the limit.
     */
    fun idleConnections(gateways: Int): Int = maximumConnections / 2 / gateways.coerceAtLeast(1)
}

/** Limits within which the platform would change the number of back ends of a service. */
data class ScalingSpec(
    /** By zone; the key null stands for each zone. */
    val minimum: Map<AvailabilityZone?, Int>,
    val maximum: Map<AvailabilityZone?, Int>,
    /** Time until a new back end can be used; null if not stated. */
    val bootTime: Duration?,
)

/** Properties common to all engines of a service. Slots and times apply to a whole serving group. */
data class ModelPool(
    /** Requests that a group serves at the same time. */
    val slots: Int,
    val models: List<ModelSpec>,
    /** Maximum number of weight loads started per second. */
    val loadsPerSecond: Double,
    /** Number of weight loads that can run at full speed at the same time. */
    val concurrentLoads: Int,
    /** Time from the order to open a group until it serves. */
    val openingTime: Duration,
    /** Age of the engine state that a report contains. */
    val reportLag: Duration,
)

/** Configured properties of a model that groups of engines serve. */
data class ModelSpec(
    val name: ModelName,
    /** Number of engines in one serving group. */
    val groupSize: Int,
    /** Expected initial fraction of the work; the engines are divided among the models in proportion to it. */
    val share: Double,
    /** Time to load the weights from the weight store. */
    val load: Duration,
    /** Time to load weights that are already staged on the host. */
    val warm: Duration,
)
