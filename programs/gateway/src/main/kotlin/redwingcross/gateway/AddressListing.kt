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

/** Announces this gateway as ready while it can serve, so that callers are not sent to one that would refuse them. */
internal class AddressListing(private val membership: MembershipTask, private val canServe: () -> Boolean) {
    /** Runs until cancelled. */
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
 * Whether callers may be told of the gateway [name]: its view is fresh, its zone is not taken out, and it has a slot
 * at some usable group, unless no group is usable at all, in which case no gateway would do better.
 */
internal fun isListable(view: ControlView, router: RouterDump, name: ProcessName, now: Duration): Boolean {
    val bundle = view.control.bundle?.bundle ?: return false
    val usable = router.servers.filter { it.group != null && it.usable }
    val isInRoster = name in gatewaySetOf(bundle, view.control.overrides)
    return isInRoster && view.isFresh(now) && (usable.isEmpty() || usable.any { it.slots > 0 })
}
