package redwingcross.version.routing

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.ServiceInstance
import redwingcross.version.control.ControlView
import redwingcross.version.placement.GroupStatus
import kotlin.time.Duration

/** A server that may take requests now, and how much of it belongs to this gateway. */
data class Candidate(
    val server: BackendServer,
    val zone: AvailabilityZone,
    val endpoint: String,
    val group: GroupStatus?,
    /** Concurrent requests of this gateway. */
    val slots: Int,
    /** Bytes that this gateway may have the server hold. */
    val heldBytes: Long,
    val isRamping: Boolean,
    /** Place of this gateway in the server's rendezvous order. */
    val position: Int,
)

/** The server that takes the requests of a group. */
val GroupStatus.server: BackendServer get() = BackendServer(leader.value)

/** Everything that decides which servers may take a request. */
data class RoutingTable(
    val gateway: ProcessName,
    val settings: RouterSettings,
    val control: ControlView = ControlView(),
    val statuses: GroupStatuses = GroupStatuses(),
    val health: ServerHealth = ServerHealth(),
    private val shares: Map<String, ServerShare> = emptyMap(),
) {
    private val bundle: Bundle? get() = control.control.bundle?.bundle

    /** Zone of this gateway by the bundle in force. */
    val zone: AvailabilityZone? get() = bundle?.gateways?.find { it.gateway == gateway }?.zone

    /** Whether this gateway belongs to the roster in force; without it, it has no share of any server. */
    val isInRoster: Boolean get() = control.history.eras.lastOrNull()?.gateways?.contains(gateway) ?: false

    /** Whether the bundle in force has [service]. */
    fun knows(service: ServiceName): Boolean = control.history.eras.lastOrNull()?.limits?.containsKey(service) ?: false

    /** Weight of [customer] by the bundle in force. */
    fun weightOf(customer: Customer): Int =
        bundle?.customers?.find { it.customer == customer }?.weight?.coerceAtLeast(1) ?: 1

    /** Replaces the control view and computes the shares under its rosters. */
    fun controlChanged(next: ControlView): RoutingTable {
        val table = copy(control = next)
        if (next.history == control.history) return table
        return table.copy(shares = table.computeShares(emptyMap()), health = health.keepOnly(table.configured()))
    }

    /** Replaces the statuses and computes the shares of new incarnations. */
    fun statusReceived(next: GroupStatuses): RoutingTable {
        val table = copy(statuses = next)
        return table.copy(shares = table.computeShares(shares))
    }

    /** Servers of [service] that may take requests at [now], those without a slot for this gateway included. */
    fun candidates(service: ServiceName, now: Duration): List<Candidate> {
        val body = bundle ?: return emptyList()
        if (!control.isFresh(now)) return emptyList()
        val groups = statuses.groups.values
            .filter { it.status.model == service && isUsable(it, now) }
            .map { candidate(it, now) }
        val instances = body.services.find { it.service == service }?.instances.orEmpty()
            .filter { isAllowed(it) }
            .map { candidate(service, it, now) }
        return limitStragglers(groups, settings) { health.firstBytes[it]?.usual } + instances
    }

    /** Whether a request for [group] of [generation] at [incarnation] may be sent at [now]. */
    fun mayDispatch(group: GroupId, generation: Long?, incarnation: String?, now: Duration): Boolean {
        val view = statuses.groups[group] ?: return false
        return control.isFresh(now) &&
            view.status.generation.value == generation &&
            view.status.incarnation.value == incarnation &&
            isUsable(view, now)
    }

    /** Whether a call may be sent to the instance [server] of the plain service [service] at [now]. */
    fun mayDispatch(service: ServiceName, server: BackendServer, now: Duration): Boolean = control.isFresh(now) &&
        bundle?.services?.find { it.service == service }?.instances?.any { it.server == server && isAllowed(it) }
            ?: false

    /** Concurrent requests that this gateway may have at a group's server at [now]. */
    fun slots(view: GroupView, now: Duration): Int {
        val serving = servingTime(view, now)
        val completeSince = control.history.completeSince ?: return 0
        // Requests of this gateway's previous process, or under rosters that it never saw, may still run.
        if (serving.isBoundBy(completeSince, settings.view, now)) return 0
        return shares[view.status.incarnation.value]?.slots(serving, settings.view, now) ?: 0
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
        val vms = bundle?.vms.orEmpty().filter { it.vm in status.members }
        return view.isReady(now, settings.statusLifetime) &&
            bundle?.models?.any { it.model == status.model } == true &&
            vms.size == status.members.size &&
            view.zone !in overrides.zonesOut &&
            vms.none { it.zone in overrides.zonesOut } &&
            status.members.none { it in overrides.drainedVms || it in control.leavingVms } &&
            status.members.none { BackendServer(it.value) in overrides.drainedServers } &&
            status.incarnation !in health.replaced &&
            !isSuspended(view)
    }

    /** A local suspension ends with a status that was published after it; repeated failures delay this. */
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
        val share = shares[status.incarnation.value] ?: ServerShare(emptyList())
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

    private fun configured(): Set<BackendServer> = bundle?.let { body ->
        body.vms.map { BackendServer(it.vm.value) } + body.services.flatMap { it.instances }.map { it.server }
    }.orEmpty().toSet()

    /** Shares of every server under every roster; [known] ones are kept, because the order takes long to compute. */
    private fun computeShares(known: Map<String, ServerShare>): Map<String, ServerShare> {
        val groups = statuses.groups.values.associate { view ->
            val key = view.status.incarnation.value
            key to (known[key] ?: share(key, view.status.model))
        }
        val instances = bundle?.services.orEmpty().flatMap { entry ->
            entry.instances.map { instance ->
                val key = shareKey(entry.service, instance)
                key to (known[key] ?: share(key, entry.service))
            }
        }
        return groups + instances
    }

    private fun share(key: String, service: ServiceName): ServerShare =
        ServerShare.of(key, gateway, control.history) { it.limits[service] }

    private fun shareKey(service: ServiceName, instance: ServiceInstance): String = "$service/${instance.server}"
}
