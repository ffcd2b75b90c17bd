package redwingcross.gateway

import kotlinx.coroutines.delay
import redwingcross.process.gossip.MembershipTask
import redwingcross.process.membership.Availability
import redwingcross.request.ProcessName
import redwingcross.version.control.ControlView
import redwingcross.version.control.gatewaySetOf
import redwingcross.version.routing.RouterDump
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val checkInterval = 500.milliseconds

/**
 * Announces this gateway to its peers as [Availability.READY] while [canServe] is true and as [Availability.STARTING]
 * otherwise. Callers get only the addresses of ready gateways, so that they do not call one that would refuse them.
 */
internal class ReadinessAnnouncer(private val membership: MembershipTask, private val canServe: () -> Boolean) {
    /** Announces each change of availability until cancelled. */
    suspend fun run() {
        var announced: Availability? = null
        while (true) {
            val availability = if (canServe()) Availability.READY else Availability.STARTING
            if (availability != announced) {
                membership.announce(availability)
                announced = availability
            }
            delay(checkInterval)
        }
    }
}

/**
 * Whether the gateway [name] can accept callers: its view is fresh at [now], it belongs to the gateway set (its zone is
 * not evacuated), and it has a slot at a usable group. If no group is usable, slots are not required, because no other
 * gateway could serve either. False without a bundle.
 */
internal fun isReadyForCallers(view: ControlView, router: RouterDump, name: ProcessName, now: Duration): Boolean {
    val bundle = view.control.bundle?.bundle ?: return false
    val usable = router.servers.filter { it.group != null && it.usable }
    val isInGatewaySet = name in gatewaySetOf(bundle, view.control.overrides)
    return isInGatewaySet && view.isFresh(now) && (usable.isEmpty() || usable.any { it.slots > 0 })
}
