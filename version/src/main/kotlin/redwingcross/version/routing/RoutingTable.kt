package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.ServiceInstance
import redwingcross.version.control.ControlView
import redwingcross.version.placement.GroupStatus
import kotlin.time.Duration

/** A server that can take requests now, with this gateway's share of its capacity. */
data class Candidate(
    val server: BackendServer,
    val zone: AvailabilityZone,
    val endpoint: String,
    /** Null for an instance of a plain service. */
    val group: GroupStatus?,
    /** Concurrent requests that this gateway may have at the server. */
    val slots: Int,
    /** Total size in bytes of the requests that this gateway may hold for the server. */
    val heldBytes: Long,
    /** Whether the server's limit is still rising after its start. */
    val isRamping: Boolean,
    /** Position of this gateway in the server's rendezvous hashing order. */
    val position: Int,
)

/** The backend server on the group's leader VM, which takes all requests of the group. */
val GroupStatus.server: BackendServer get() = BackendServer(leader.value)

/** Contains the model, because an engine process may serve another model with other limits later. */
private val GroupStatus.shareKey: String get() = "$model/$incarnation"

/** The control view, statuses and health from which the servers that can take a request are computed. */
data class RoutingTable(
    val gateway: ProcessName,
    val settings: RouterSettings,
    val control: ControlView = ControlView(),
    val statuses: GroupStatuses = GroupStatuses(),
    val health: ServerHealth = ServerHealth(),
    private val shares: Map<String, ServerShare> = emptyMap(),
    val index: BundleIndex = BundleIndex(null),
) {

    /** Zone of this gateway in the current bundle; null if the bundle does not contain the gateway. */
    val zone: AvailabilityZone? get() = index.gatewayZones[gateway]

    /** Whether this gateway is in the gateway set, or left it so recently that callers may still use its address. */
    fun canAdmit(now: Duration): Boolean {
        val previous = control.history.periods.dropLast(1).lastOrNull()
        val isDeparting = previous?.replacedAt?.let { now < it + settings.view.departureGrace } ?: false
        val current = control.history.periods.lastOrNull()
        return current?.gateways?.contains(gateway) == true || (isDeparting && gateway in previous.gateways)
    }

    /** Whether the current bundle contains [service]. */
    fun hasService(service: ServiceName): Boolean =
        control.history.periods.lastOrNull()?.limits?.containsKey(service) ?: false

    /** Replaces the control view and recomputes the shares if the gateway sets or limits changed. */
    fun controlChanged(next: ControlView): RoutingTable {
        if (next.history == control.history) return copy(control = next)
        val nextIndex = BundleIndex(next.control.bundle?.bundle)
        val table = copy(control = next, index = nextIndex, health = health.keepOnly(nextIndex.servers))
        return table.copy(shares = table.computeShares(emptyMap()))
    }

    /** Replaces the statuses and computes the shares of new incarnations. */
    fun statusReceived(next: GroupStatuses): RoutingTable {
        val table = copy(statuses = next)
        return table.copy(shares = table.computeShares(shares))
    }

    /** Servers of [service] that can take requests at [now], including those without a slot for this gateway. */
    fun candidates(service: ServiceName, now: Duration): List<Candidate> {
        if (!control.isFresh(now)) return emptyList()
        val groups = statuses.groups.values
            .filter { it.status.model == service && isUsable(it, now) }
            .map { candidate(it, now) }
        val instances = index.instances[service].orEmpty()
            .filter { isAllowed(it) }
            .map { candidate(service, it, now) }
        return limitStragglers(groups, settings) { health.firstBytes[it]?.median } + instances
    }

    /** Whether a request may be sent at [now] to [group], provided it still has [generation] and [incarnation]. */
    fun canDispatch(group: GroupId, generation: Long?, incarnation: String?, now: Duration): Boolean {
        val view = statuses.groups[group] ?: return false
        return control.isFresh(now) &&
            view.status.generation.value == generation &&
            view.status.incarnation.value == incarnation &&
            isUsable(view, now)
    }

    /**
     * Whether a call may be sent at [now] to the instance [server] of the plain service [service]. [calls] is the
     * number of calls for which this gateway holds a slot there, including this one.
     */
    fun canDispatch(service: ServiceName, server: BackendServer, calls: Int, now: Duration): Boolean {
        val instance = index.instances[service].orEmpty().find { it.server == server } ?: return false
        return control.isFresh(now) && isAllowed(instance) && calls <= slots(service, instance, now)
    }

    /** Concurrent requests that this gateway may have at a group's server at [now]. */
    fun slots(view: GroupView, now: Duration): Int {
        val serving = servingTime(view, now)
        val completeSince = control.history.completeSince ?: return 0
        // Requests of this gateway's previous process, or admitted under gateway sets unknown to it, may still run.
        if (serving.isBoundBy(completeSince, settings.view, now)) return 0
        return shares[view.status.shareKey]?.slots(serving, settings.view, now) ?: 0
    }

    /** Concurrent calls that this gateway may have at an instance of a plain service at [now]. */
    fun slots(service: ServiceName, instance: ServiceInstance, now: Duration): Int {
        val share = shares[shareKey(service, instance)]?.slots(ServingTime(Duration.ZERO), settings.view, now) ?: 0
        val suspension = health.suspensions[instance.server] ?: return share
        return if (now >= suspension.since + suspension.probeDelay(settings)) minOf(share, 1) else 0
    }

    private fun isUsable(view: GroupView, now: Duration): Boolean {
        val status = view.status
        val overrides = control.control.overrides
        val zones = status.members.mapNotNull { index.vmZones[it] }
        return view.isReady(now, settings.statusLifetime) &&
            status.model in index.models &&
            zones.size == status.members.size &&
            view.zone !in overrides.zonesOut &&
            zones.none { it in overrides.zonesOut } &&
            status.members.none { it in overrides.drainedVms || it in control.leavingVms } &&
            status.members.none { BackendServer(it.value) in overrides.drainedServers } &&
            status.incarnation !in health.replaced &&
            !isSuspended(view)
    }

    /** A local suspension ends with a status published after it; each further failure in a row extends it. */
    private fun isSuspended(view: GroupView): Boolean {
        val suspension = health.suspensions[view.status.server] ?: return false
        return view.publishedAt <= suspension.since + suspension.probeDelay(settings) - settings.probeDelay
    }

    private fun isAllowed(instance: ServiceInstance): Boolean {
        val overrides = control.control.overrides
        return instance.zone !in overrides.zonesOut && instance.server !in overrides.drainedServers
    }

    private fun servingTime(view: GroupView, now: Duration): ServingTime = ServingTime(
        health.servingFor(view.status.incarnation, view.readyFor(now), now),
        view.notReadyBefore(settings.statusLifetime),
    )

    private fun candidate(view: GroupView, now: Duration): Candidate {
        val status = view.status
        val serving = servingTime(view, now)
        val share = shares[status.shareKey] ?: ServerShare(emptyList())
        return Candidate(
            status.server,
            view.zone,
            status.leaderEndpoint.value,
            status,
            slots(view, now),
            share.heldBytes(serving, settings.view, now),
            share.isRamping(serving.servingFor),
            share.position,
        )
    }

    private fun candidate(service: ServiceName, instance: ServiceInstance, now: Duration) = Candidate(
        instance.server,
        instance.zone,
        instance.endpoint.value,
        group = null,
        slots = slots(service, instance, now),
        heldBytes = Long.MAX_VALUE,
        isRamping = false,
        position = shares[shareKey(service, instance)]?.position ?: Int.MAX_VALUE,
    )

    /** Shares of all servers. Those in [known] are reused, because the rendezvous order is expensive to compute. */
    private fun computeShares(known: Map<String, ServerShare>): Map<String, ServerShare> {
        val groups = statuses.groups.values.associate { view ->
            val key = view.status.shareKey
            key to (known[key] ?: share(key, view.status.model))
        }
        val instances = index.instances.flatMap { (service, instances) ->
            instances.map { instance ->
                val key = shareKey(service, instance)
                key to (known[key] ?: share(key, service))
            }
        }
        return groups + instances
    }

    private fun share(key: String, service: ServiceName): ServerShare =
        ServerShare.of(key, gateway, control.history) { it.limits[service] }

    private fun shareKey(service: ServiceName, instance: ServiceInstance): String = "$service/${instance.server}"
}
