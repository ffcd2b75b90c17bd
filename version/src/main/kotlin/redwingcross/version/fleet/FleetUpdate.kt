package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer

/** The kind of operator or platform objects that an update is about. */
enum class UpdateSource { CONFIGURATION, EVACUATIONS, BACKEND_SERVERS }

/** An update received from the platform's store. */
sealed interface FleetUpdate {
    /** A new configuration is in effect. */
    data class ConfigurationChanged(val configuration: FleetConfiguration) : FleetUpdate

    /**
     * The complete set of [zones] that operators have taken out of service. [changed] are those whose entry was written
     * or deleted since the last update; null after the store was listed, which does not tell.
     */
    data class EvacuatedZonesChanged(val zones: Set<AvailabilityZone>, val changed: Set<AvailabilityZone>? = null) :
        FleetUpdate

    /** The complete list of back ends; sent first and after updates may have been missed. */
    data class ServersListed(val servers: List<EngineStatus>) : FleetUpdate

    /** One back end was added or changed. */
    data class ServerChanged(val server: EngineStatus) : FleetUpdate

    /** One back end was deleted. */
    data class ServerRemoved(val server: BackendServer) : FleetUpdate

    /** The store answered, so the view of [source] is current; it contains all changes up to [position]. */
    data class Confirmed(val source: UpdateSource, val position: StorePosition) : FleetUpdate

    /** The store has come back from an older copy of its data and is now in [era]. */
    data class StoreRestored(val era: StoreEra) : FleetUpdate

    /** A request to the store failed; [status] is the HTTP status, or null if the store could not be reached. */
    data class Interrupted(val source: UpdateSource, val status: Int?) : FleetUpdate
}
