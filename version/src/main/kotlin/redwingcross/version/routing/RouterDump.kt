package redwingcross.version.routing

import kotlinx.serialization.Serializable
import redwingcross.request.BackendServer
import redwingcross.request.NotRunReason
import redwingcross.request.ServiceName
import kotlin.time.Duration

/** Snapshot of the router's state for operators and metrics. */
@Serializable
data class RouterDump(
    val gateway: String,
    val bundleVersion: Long?,
    val overridesVersion: Long,
    /** Time until the control view becomes stale; zero or negative if it is stale, null if it was never fresh. */
    val freshForMillis: Long?,
    val waiting: Int,
    val inFlight: Int,
    val servers: List<ServerDump>,
    val customers: List<CustomerDump>,
)

/** Routing state of one backend server. */
@Serializable
data class ServerDump(
    val server: String,
    val service: String,
    val zone: String,
    val group: String? = null,
    val generation: Long? = null,
    val incarnation: String? = null,
    val usable: Boolean,
    /** Concurrent requests that this gateway may have at the server. */
    val slots: Int,
    val inFlight: Int,
    val heldBytes: Long,
    /** Age of the newest group status; null for an instance of a plain service. */
    val statusAgeMillis: Long? = null,
    val readiness: String? = null,
    val reason: String = "",
    /** Time since this gateway suspended the server after a failure; null if it is not suspended. */
    val suspendedForMillis: Long? = null,
    val suspendedBecause: String? = null,
    /** Time since the server was detected to have lost its warm state; null if it was not. */
    val coldForMillis: Long? = null,
    val usualFirstByteMillis: Long? = null,
)

/** Request counts of one customer at this gateway; [granted] and [refused] count from the start of the process. */
@Serializable
data class CustomerDump(
    val customer: String,
    val waiting: Int,
    val inFlight: Int,
    val granted: Long,
    val refused: Map<NotRunReason, Long>,
)

/** Returns a snapshot of the state at [now], a reading of the process clock. */
fun RouterState.dump(now: Duration): RouterDump = RouterDump(
    gateway = table.gateway.value,
    bundleVersion = table.control.control.bundle?.version?.value,
    overridesVersion = table.control.control.overrides.version.value,
    freshForMillis = table.control.freshUntil?.let { (it - now).inWholeMilliseconds },
    waiting = queue.size,
    inFlight = held.size,
    servers = groupDumps(now) + instanceDumps(now),
    customers = customerDumps(),
)

private fun RouterState.groupDumps(now: Duration): List<ServerDump> {
    val usable = table.statuses.groups.values.map { it.status.model }.toSet()
        .flatMap { table.candidates(it, now) }
        .mapNotNull { it.group?.group }
        .toSet()
    return table.statuses.groups.values.map { view ->
        val status = view.status
        base(status.server, status.model, view.zone.value, now).copy(
            group = status.group.value,
            generation = status.generation.value,
            incarnation = status.incarnation.value,
            usable = status.group in usable,
            slots = table.slots(view, now),
            statusAgeMillis = (now - view.publishedAt).inWholeMilliseconds,
            readiness = status.readiness.name,
            reason = status.reason,
            coldForMillis = table.health.coldSince[status.incarnation]?.let { (now - it).inWholeMilliseconds },
        )
    }
}

private fun RouterState.instanceDumps(now: Duration): List<ServerDump> =
    table.control.control.bundle?.bundle?.services.orEmpty().flatMap { entry ->
        val candidates = table.candidates(entry.service, now).associateBy { it.server }
        entry.instances.map { instance ->
            val candidate = candidates[instance.server]
            base(instance.server, entry.service, instance.zone.value, now)
                .copy(usable = (candidate?.slots ?: 0) > 0, slots = candidate?.slots ?: 0)
        }
    }

private fun RouterState.base(server: BackendServer, service: ServiceName, zone: String, now: Duration): ServerDump {
    val suspension = table.health.suspensions[server]
    return ServerDump(
        server = server.value,
        service = service.value,
        zone = zone,
        usable = false,
        slots = 0,
        inFlight = loadOf(server).requests,
        heldBytes = loadOf(server).heldBytes,
        suspendedForMillis = suspension?.let { (now - it.since).inWholeMilliseconds },
        suspendedBecause = suspension?.reason,
        usualFirstByteMillis = table.health.firstBytes[server]?.median?.inWholeMilliseconds,
    )
}

private fun RouterState.customerDumps(): List<CustomerDump> {
    val names = customers.keys + queue.customers + held.values.map { it.request.customer }
    return names.map { customer ->
        val counts = customers[customer] ?: CustomerCounts()
        CustomerDump(
            customer.value,
            queue.waitingOf(customer).size,
            held.values.count { it.request.customer == customer },
            counts.granted,
            counts.refused,
        )
    }
}
