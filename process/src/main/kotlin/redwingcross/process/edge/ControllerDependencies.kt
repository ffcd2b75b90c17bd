package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.ServiceName
import redwingcross.version.fleet.DemandPlan
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FormationEffect
import redwingcross.version.fleet.FormationState
import redwingcross.version.fleet.ModelPool
import redwingcross.version.fleet.OrderCount
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.StorePosition
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration

/** Callbacks through which [ControllerTask] reads the process state and sends calls and messages. */
@Suppress("LongParameterList")
class ControllerDependencies(
    val configuration: () -> FleetConfiguration?,
    /** Current view of the engines. */
    val table: () -> EngineTable,
    /** Whether any gateway has received a request from a caller. */
    val trafficSeen: () -> Boolean,
    /** Whether more than half of the known processes, this one included, are reachable. */
    val isMajorityReachable: () -> Boolean,
    /** Whether the store answers the calls of this process. */
    val isStoreAvailable: () -> Boolean,
    /** Applies the report of an engine to the view of the engines. */
    val applyReport: (BackendServer, EngineReport) -> Unit,
    /** Records that an engine left its group and has accepted the given number of orders. */
    val applyLeave: (BackendServer, OrderCount) -> Unit,
    /** Discards the reports of engines: this process no longer requests them, so they become outdated. */
    val discardReports: () -> Unit,
    /** Reads the lease record; the result arrives as a [ControllerMessage.Lease] with the same call number. */
    val readLease: (call: Long) -> Unit,
    /** Writes the lease record if its version is still `expected`; null means that no record exists yet. */
    val writeLease: (call: Long, expected: StorePosition?, record: LeaseRecord) -> Unit,
    /** Requests the report of an engine; the result arrives as a [ControllerMessage.ReportRequestCompleted]. */
    val requestReport: (ServiceName, FormationEffect.RequestReport) -> Unit,
    /** Sends an order to an engine; the outcome arrives as a [ControllerMessage.OrderCompleted]. */
    val sendOrder: (ServiceName, FormationEffect.Send) -> Unit,
    /** Whether the view of the engines is the platform's complete list. */
    val isListComplete: () -> Boolean,
    /** Point up to which the view of the engines contains the changes of the platform's list. */
    val listPosition: () -> StorePosition,
    /** Requests the changes of the platform's list up to now. */
    val catchUpList: () -> Unit,
    /** The routes of a service that were announced last. */
    val announcedRoutes: (ServiceName) -> AnnouncedRoutes?,
    /** Sends the routes of a service to every gateway, or to the one that requested them. */
    val announce: (ServiceName, LeaseEpoch, RouteAnnouncement, GatewayRecord?) -> Unit,
    /** Sends this task a [ControllerMessage.Step] after a delay. */
    val stepLater: (Duration) -> Unit,
    /** Called when this process has become the active controller. */
    val becameController: () -> Unit,
    /** What the demand for the models of a service asks of its groups; null if their configured shares decide. */
    val demandPlan: (ServiceSpec, ModelPool, FormationState) -> DemandPlan? = { _, _, _ -> null },
)
