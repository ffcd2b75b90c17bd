package redwingcross.process.edge

import redwingcross.request.AvailabilityZone
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import redwingcross.version.fleet.CallerLimits
import redwingcross.version.fleet.ConfigurationVersion
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.EngineStart
import redwingcross.version.fleet.EngineStatus
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FleetUpdate
import redwingcross.version.fleet.FormationEffect
import redwingcross.version.fleet.FormationOrder
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupMembership
import redwingcross.version.fleet.MemberPhase
import redwingcross.version.fleet.ModelPool
import redwingcross.version.fleet.ModelSpec
import redwingcross.version.fleet.OrderCount
import redwingcross.version.fleet.OrderOutcome
import redwingcross.version.fleet.ReportAnswer
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.StorePosition
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.placement.LeaseEpoch
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against answers of engines that are booked on a later start or on a later call, and against a new controller
 * that acts on an old list.
 */
class ControllerTaskTest {
    private val service = ServiceName("pool")
    private val small = ModelSpec(ModelName("small"), 2, 1.0, 12.seconds, 1.1.seconds)
    private val pool = ModelPool(12, listOf(small), 5.0, 7, 300.milliseconds, 200.milliseconds)
    private val e1 = BackendServer("e1")
    private val old = GroupMembership(GroupId("small.1-7"), GroupEpoch(7), 0, MemberPhase.READY)
    private var now = 10.seconds
    private var fleet = FleetState()
    private val later = ArrayDeque<ControllerMessage>()
    private val orders = mutableListOf<FormationEffect.Send>()
    private val reports = mutableListOf<FormationEffect.RequestReport>()
    private val announcements = mutableListOf<RouteAnnouncement>()
    private var listPosition = StorePosition.inFirstEra(1_000)
    private var catchUps = 0
    private var isStoreSilent = false
    private val logged = mutableListOf<Pair<String, Map<String, Any?>>>()

    private fun status(name: String, start: Long, membership: GroupMembership?) = EngineStatus(
        id = BackendServer(name),
        service = service,
        address = Endpoint("10.0.0.1:80"),
        zone = AvailabilityZone("a"),
        slots = 12,
        draining = false,
        coldRemaining = Duration.ZERO,
        start = EngineStart(start),
        domain = FabricDomain("d"),
        staged = listOf(small.name),
        membership = membership,
    )

    private val task: ControllerTask = ControllerTask(
        ProcessName("n1"),
        "1",
        ControllerDependencies(
            configuration = { fleet.configuration },
            table = { fleet.table },
            trafficSeen = { true },
            isMajorityReachable = { true },
            isStoreAvailable = { true },
            applyReport = { id, report -> fleet = FleetDecision.reported(fleet, id, report, now) },
            applyLeave = { id, count -> fleet = FleetDecision.left(fleet, id, count, now) },
            discardReports = { fleet = FleetDecision.reportsDiscarded(fleet) },
            readLease = {
                if (!isStoreSilent) later += ControllerMessage.Lease(LeaseMessage.ReadAnswered(it, null))
            },
            writeLease = { call, expected, _ ->
                later +=
                    ControllerMessage.Lease(
                        LeaseMessage.Written(
                            call,
                            StorePosition.inFirstEra(
                                (expected?.revision?.value ?: 0) + 1,
                            ),
                        ),
                    )
            },
            requestReport = { _, request -> reports += request },
            sendOrder = { _, order -> orders += order },
            isListComplete = { true },
            listPosition = { listPosition },
            catchUpList = { catchUps++ },
            announcedRoutes = { null },
            announce = { _, _, announcement, _ -> announcements += announcement },
            stepLater = { },
            becameController = { },
        ),
        MonotonicClock { now },
        { event, pairs -> logged += event to pairs.toMap() },
    )

    private fun tick() {
        now += 100.milliseconds
        task.handle(ControllerMessage.Tick)
        while (later.isNotEmpty()) task.handle(later.removeFirst())
    }

    private fun takeOrders(): List<FormationEffect.Send> = orders.toList().also { orders.clear() }

    private fun takeReports(): List<FormationEffect.RequestReport> = reports.toList().also { reports.clear() }

    private fun report(request: FormationEffect.RequestReport, start: Long, count: Long, group: GroupMembership?) {
        val report = EngineReport(EngineStart(start), OrderCount(count), listOf(small.name), group)
        val answer = ReportAnswer(request.call, request.engine, report, isAbsent = false)
        task.handle(ControllerMessage.ReportRequestCompleted(service, answer))
    }

    private fun answer(order: FormationEffect.Send, outcome: OrderOutcome) =
        task.handle(ControllerMessage.OrderCompleted(service, order.engine, order.call, outcome))

    private fun list(vararg servers: EngineStatus) {
        servers.forEach { fleet = FleetDecision.onUpdate(fleet, FleetUpdate.ServerChanged(it), now) }
    }

    /** Lists e1, a member of a former group, and e2. */
    private fun listEngines() {
        val spec = ServiceSpec(service, 300, 3.seconds, 26.0, pool)
        val configuration =
            FleetConfiguration(
                ConfigurationVersion(1),
                emptyList(),
                mapOf(service to spec),
                CallerLimits(),
                emptyList(),
            )
        fleet = FleetDecision.onUpdate(fleet, FleetUpdate.ConfigurationChanged(configuration), now)
        val listed = FleetUpdate.ServersListed(listOf(status("e1", 1, old), status("e2", 1, null)))
        fleet = FleetDecision.onUpdate(fleet, listed, now)
    }

    /** Makes the task the active controller with e1 and e2; returns the leave to e1. */
    private fun orderLeave(): FormationEffect.Send {
        listEngines()
        repeat(60) { if (reports.none { it.engine == e1 }) tick() }
        val requests = takeReports()
        report(requests.first { it.engine == e1 }, 1, 3, old)
        // Until e2 reports that it is in no group, it may be the other member.
        tick()
        assertEquals(emptyList(), takeOrders().filter { it.engine == e1 })
        report(requests.first { it.engine != e1 }, 1, 0, null)
        tick()
        return takeOrders().single { it.engine == e1 }.also { assertIs<FormationOrder.Leave>(it.order) }
    }

    /** Lets both engines report until e1, in its second start, is sent an order; returns the order. */
    private fun orderToSecondStart(): FormationEffect.Send {
        repeat(300) {
            tick()
            for (request in takeReports()) report(request, if (request.engine == e1) 2 else 1, 0, null)
            takeOrders().firstOrNull { it.engine == e1 }?.let { return it }
        }
        error("e1 was sent no order in its second start")
    }

    /** Lets both engines, e1 in its second start, answer for 30 s; returns the number of orders that e1 accepted. */
    private fun ordersOfSecondStart(): Long {
        var accepted = 0L
        repeat(300) {
            tick()
            for (request in takeReports()) {
                val isFirst = request.engine == e1
                report(request, if (isFirst) 2 else 1, if (isFirst) accepted else 0, null)
            }
            for (order in takeOrders()) {
                val begins = order.engine == e1 && order.expectedOrders.value == accepted
                if (begins) accepted++
                answer(order, if (begins) OrderOutcome.BEGUN else OrderOutcome.REJECTED)
            }
        }
        return accepted
    }

    @Test
    fun `the answer of a leave that arrives after the entry of a new start does not count for it`() {
        val leave = orderLeave()
        list(status("e1", 2, null))
        answer(leave, OrderOutcome.DONE)
        assertTrue(ordersOfSecondStart() > 0, "e1 accepts no order: ${fleet.table.engines[e1]?.orders} are expected")
    }

    @Test
    fun `the answer of an order to an earlier start does not end a later order`() {
        val leave = orderLeave()
        list(status("e1", 2, null))
        val later = orderToSecondStart()
        answer(leave, OrderOutcome.BEGUN)
        repeat(20) {
            tick()
            val requests = takeReports()
            requests.filter { it.engine != e1 }.forEach { report(it, 1, 0, null) }
            assertEquals(emptyList(), requests.filter { it.engine == e1 }, "$later is pending")
            assertEquals(emptyList(), takeOrders().filter { it.engine == e1 }, "$later is pending")
        }
        answer(later, OrderOutcome.REJECTED)
        assertTrue(ordersOfSecondStart() > 0, "e1 accepts no order after a late answer")
    }

    @Test
    fun `a new controller announces and orders nothing before its list is as new as its lease`() {
        listPosition = StorePosition.inFirstEra(0)
        listEngines()
        repeat(20) { tick() }
        assertTrue(task.isActiveController)
        assertTrue(catchUps > 0, "the changes of the list were not requested")
        assertEquals(emptyList(), announcements)
        assertEquals(emptyList<Any>(), takeOrders() + takeReports())
        listPosition = StorePosition.inFirstEra(1)
        tick()
        assertTrue(announcements.isNotEmpty(), "no routes are announced with a current list")
    }

    @Test
    fun `a report of another start does not change the group or the count of a listed engine`() {
        answer(orderLeave(), OrderOutcome.UNKNOWN)
        repeat(60) { if (reports.none { it.engine == e1 }) tick() }
        report(takeReports().first { it.engine == e1 }, 2, 7, null)
        assertEquals(old, fleet.table.engines.getValue(e1).status.membership)
        assertEquals(OrderCount(3), fleet.table.engines.getValue(e1).orders)
    }

    @Test
    fun `a process that knows no controller says why it doesn't take over`() {
        isStoreSilent = true
        repeat(40) { tick() }
        val lines = logged.filter { it.first == "controller_absent" }.map { it.second["obstacle"] }
        assertEquals(listOf<Any?>("lease_not_read"), lines)
        assertTrue(task.controllerAbsence >= 4.seconds, "${task.controllerAbsence}")
        task.handle(ControllerMessage.RoutesAnnounced(LeaseEpoch(3)))
        assertEquals(Duration.ZERO, task.controllerAbsence)
    }
}
