package redwingcross.version.fleet

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer

/** Which of the operator's or the platform's objects some news is about. */
enum class NewsSource { CONFIGURATION, EVACUATIONS, BACKEND_SERVERS }

/** What a process learns from the platform's store. */
sealed interface FleetNews {
    data class Configured(val configuration: FleetConfiguration) : FleetNews

    /** All zones that operators have taken out. */
    data class ZonesOut(val zones: Set<AvailabilityZone>) : FleetNews

    /** Every back end, first and after a gap. */
    data class ServersListed(val servers: List<EngineStatus>) : FleetNews

    data class ServerChanged(val server: EngineStatus) : FleetNews

    data class ServerRemoved(val server: BackendServer) : FleetNews

    /** The store answered; the view of [source] is current. */
    data class Confirmed(val source: NewsSource) : FleetNews

    /** The store did not answer; [status] is null if it could not be reached. */
    data class Interrupted(val source: NewsSource, val status: Int?) : FleetNews
}
