package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.version.fleet.CallNumber
import redwingcross.version.fleet.OrderOutcome
import redwingcross.version.fleet.ReportAnswer
import redwingcross.version.fleet.StoreEra
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.placement.LeaseEpoch

/** Message to [ControllerTask]. */
sealed interface ControllerMessage {
    /** Timer tick, several times a second: renews the lease and advances the formation of groups. */
    data object Tick : ControllerMessage

    /** Result of a store call for the controller lease, or a renewal that another process reported. */
    data class Lease(val message: LeaseMessage) : ControllerMessage

    /** A report request to an engine has completed. */
    data class ReportRequestCompleted(val service: ServiceName, val answer: ReportAnswer) : ControllerMessage

    /** The order to an engine that was sent as [call] has completed with [outcome]. */
    data class OrderCompleted(
        val service: ServiceName,
        val engine: BackendServer,
        val call: CallNumber,
        val outcome: OrderOutcome,
    ) : ControllerMessage

    /** A gateway sees no progress on the streams of [group]. */
    data class GroupSuspected(val group: GroupId) : ControllerMessage

    /** Another process announced routes under the lease [epoch]. */
    data class RoutesAnnounced(val epoch: LeaseEpoch) : ControllerMessage

    /** The platform's store has come back from an older copy of its data and is now in [era]. */
    data class StoreRestored(val era: StoreEra) : ControllerMessage

    /** The position of this process in the order in which processes take over the lease, from 0. */
    data class RankChanged(val rank: Int) : ControllerMessage

    /** The gateway [receiver] has missed changes of the routes of [service]. */
    data class RoutesRequested(val service: ServiceName, val receiver: GatewayRecord) : ControllerMessage

    /** Reports, orders or suspicions have changed the state of the groups since the last step of their formation. */
    data object Step : ControllerMessage

    /** The process is stopping and releases the controller lease. */
    data object Release : ControllerMessage
}
