package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer

/** The kind of operator or platform objects that an update is about. */
enum class UpdateSource { CONFIGURATION, EVACUATIONS, BACKEND_SERVERS }

/** Counts all changes in the store, of every kind; an object's version is the revision of its last change. */
@JvmInline
value class StoreRevision(val value: Long) : Comparable<StoreRevision> {
    override fun compareTo(other: StoreRevision): Int = value.compareTo(other.value)
}

/** An update received from the platform's store. */
sealed interface FleetUpdate {
    /** A new configuration is in effect. */
    data class ConfigurationChanged(val configuration: FleetConfiguration) : FleetUpdate

    /** The complete set of zones that operators have taken out of service. */
    data class EvacuatedZonesChanged(val zones: Set<AvailabilityZone>) : FleetUpdate

    /** The complete list of back ends; sent first and after updates may have been missed. */
    data class ServersListed(val servers: List<EngineStatus>) : FleetUpdate

    /** One back end was added or changed. */
    data class ServerChanged(val server: EngineStatus) : FleetUpdate

    /** One back end was deleted. */
    data class ServerRemoved(val server: BackendServer) : FleetUpdate

    /** The store answered, so the view of [source] is current; it contains all changes up to [revision]. */
    data class Confirmed(val source: UpdateSource, val revision: StoreRevision) : FleetUpdate

    /** A request to the store failed; [status] is the HTTP status, or null if the store could not be reached. */
    data class Interrupted(val source: UpdateSource, val status: Int?) : FleetUpdate
}
