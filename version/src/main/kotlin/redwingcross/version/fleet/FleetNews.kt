package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer

/** The kind of operator or platform objects that an update is about. */
enum class NewsSource { CONFIGURATION, EVACUATIONS, BACKEND_SERVERS }

/** An update received from the platform's store. */
sealed interface FleetNews {
    /** A new configuration is in effect. */
    data class Configured(val configuration: FleetConfiguration) : FleetNews

    /** The complete set of zones that operators have taken out of service. */
    data class ZonesOut(val zones: Set<AvailabilityZone>) : FleetNews

    /** The complete list of back ends; sent first and after updates may have been missed. */
    data class ServersListed(val servers: List<EngineStatus>) : FleetNews

    /** One back end was added or changed. */
    data class ServerChanged(val server: EngineStatus) : FleetNews

    /** One back end was deleted. */
    data class ServerRemoved(val server: BackendServer) : FleetNews

    /** The store answered, so the view of [source] is current. */
    data class Confirmed(val source: NewsSource) : FleetNews

    /** A request to the store failed; [status] is the HTTP status, or null if the store could not be reached. */
    data class Interrupted(val source: NewsSource, val status: Int?) : FleetNews
}
