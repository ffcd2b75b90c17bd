package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.ModelName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

internal val service = ServiceName("pool")
internal val large = ModelSpec(ModelName("large"), 4, 0.5, 16.seconds, 1.6.seconds)
internal val small = ModelSpec(ModelName("small"), 2, 0.5, 12.seconds, 1.1.seconds)

internal val pool = ModelPool(
    slots = 12,
    models = listOf(large, small),
    loadsPerSecond = 5.0,
    concurrentLoads = 7,
    openingTime = 300.milliseconds,
    reportLag = 200.milliseconds,
)

internal val serviceTerms = ServiceSpec(service, 300, 3.seconds, 26.0, pool)

internal fun engineStatus(
    id: String,
    domain: String = "d0",
    start: Long = 1,
    membership: GroupMembership? = null,
    staged: List<ModelName> = emptyList(),
    draining: Boolean = false,
    coldRemaining: Duration = Duration.ZERO,
) = EngineStatus(
    id = BackendServer(id),
    service = service,
    address = Endpoint("10.0.0.1:${8000 + id.filter(Char::isDigit).toInt()}"),
    zone = AvailabilityZone("zone-$domain"),
    slots = 12,
    draining = draining,
    coldRemaining = coldRemaining,
    start = EngineStart(start),
    domain = FabricDomain(domain),
    staged = staged,
    membership = membership,
)
