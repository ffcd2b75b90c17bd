package redwingcross.version.fleet

import redwingcross.request.Customer
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.request.forward.Repeatability
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Version of the operator's configuration; it rises in uneven steps. */
@JvmInline
value class ConfigurationVersion(val value: Long) : Comparable<ConfigurationVersion> {
    override fun compareTo(other: ConfigurationVersion): Int = value.compareTo(other.value)
}

/** One whole configuration of the operator: what callers may ask for and which services answer. */
class FleetConfiguration(
    val version: ConfigurationVersion,
    val routes: List<Route>,
    val services: Map<ServiceName, ServiceTerms>,
    val limits: CallerLimits,
    val tenants: List<Tenant>,
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, sameHost) -> sameHost.sortedByDescending { it.pathPrefix.length } }
    private val tenantsByKey = tenants.flatMap { tenant -> tenant.keys.map { it to tenant } }.toMap()

    /** Whether callers have to present a key. */
    val requiresKeys: Boolean get() = tenants.isNotEmpty()

    /** The route with the longest prefix of [path] at [host]; null if there is none. */
    fun route(host: String, path: String): Route? =
        routesByHost[host.substringBefore(':').lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }

    /** The tenant that holds [key]. */
    fun tenant(key: String): Tenant? = tenantsByKey[key]
}

/** One route: what a request looks like, where it goes and what it may cost. */
data class Route(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val repeatability: Repeatability,
    /** Longest time that the operator lets a request wait for its answer. */
    val timeout: Duration,
    /** Most back ends to which one attempt of a caller may be sent. */
    val maximumSends: Int,
    /** 0 is the most urgent. */
    val priority: Int,
    val anonymous: Boolean,
    val destinations: List<Destination>,
)

/** A service with the part of a route's requests that goes to it. */
data class Destination(val service: ServiceName, val weight: Int)

/** Bounds on what a caller may send; the defaults hold until the first configuration and for what it leaves out. */
data class CallerLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Long = 4_194_304,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)

/** A customer with the keys that its callers present. */
data class Tenant(val name: Customer, val keys: List<String>, val priority: Int?)

/** A service that routes lead to. */
data class ServiceTerms(
    val name: ServiceName,
    /** Connections that one back end accepts from all gateways together. */
    val maximumConnections: Int,
    val coldFor: Duration,
    /** Requests a second that a cold back end tolerates from all gateways together; 0 if it never is cold. */
    val coldRequestsPerSecond: Double,
    /** Present if the back ends are model engines. */
    val pool: ModelPool?,
) {
    /**
     * Idle connections that one of [gateways] may keep to a back end. Half of what the back end accepts is left for
     * requests under way, because it resets every connection beyond its bound.
     */
    fun idleConnections(gateways: Int): Int = maximumConnections / 2 / gateways.coerceAtLeast(1)
}

/** What the engines of a service have in common. Slots, memory and times are those of a whole serving group. */
data class ModelPool(
    val slots: Int,
    val models: List<ModelTerms>,
    val loadsPerSecond: Double,
    /** Loads of weights that run at full speed at the same time. */
    val concurrentLoads: Int,
    /** From the order to open a group until it serves. */
    val opening: Duration,
    /** Reports show the state of an engine as of this long ago. */
    val reportLag: Duration,
)

/** A model that groups of engines serve. */
data class ModelTerms(
    val name: ModelName,
    /** Engines in one serving group. */
    val groupSize: Int,
    /** Part of the work at the start. */
    val share: Double,
    /** Loading weights from the weight store. */
    val load: Duration,
    /** Loading weights that are staged on the host. */
    val warm: Duration,
)
