package redwingcross.version.simulation

import redwingcross.request.AvailabilityZone
import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.Bundle
import redwingcross.version.bundle.BundleVersion
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import redwingcross.version.bundle.ModelEntry
import redwingcross.version.bundle.VmEntry
import redwingcross.version.control.AcceptedBundle
import redwingcross.version.control.ControlState
import redwingcross.version.control.Overrides
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.placement.Generation
import redwingcross.version.placement.GroupReadiness
import redwingcross.version.placement.GroupStatus
import redwingcross.version.placement.LeaseEpoch
import redwingcross.version.placement.MemberOrder
import redwingcross.version.placement.MemberReport
import redwingcross.version.placement.OrderResult
import redwingcross.version.placement.Placement
import redwingcross.version.placement.PlacementSettings
import redwingcross.version.placement.PlacementVersion
import redwingcross.version.placement.ServingGroup
import redwingcross.version.placement.StoredPlacement
import redwingcross.version.placement.ZoneStatus
import redwingcross.version.placement.assignments
import redwingcross.version.placement.vms
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates a zone with competing controllers, engines and the platform, and checks the invariants of placement. */
internal class SimulatedZone(controllers: Int = 2, val settings: PlacementSettings = PlacementSettings()) {
    val time = VirtualTime()
    val name = AvailabilityZone("ub-a")
    val lease = FaultyObject<LeaseRecord>(time)
    val placement = FaultyObject<Placement>(time)
    private val domains = listOf("d1", "d2")
    val engines =
        domains.flatMap { domain -> (1..5).map { "$domain-$it" to domain } }.associate { (vm, domain) ->
            Vm(vm) to SimulatedEngine(Vm(vm), domain, checksFencing = vm.last() != '1', time, loadTime = 4.seconds)
        }
    val endpoints = engines.keys.associateWith { Endpoint("$it:1") }
    var leaving = emptySet<Vm>()
        private set
    var control = ControlState(accepted(1, "1", 2))
        private set
    val controllers = List(controllers) { SimulatedController(it, this) }
    private val cutOff = HashMap<Pair<Int, String>, Duration>()
    private var latest: List<GroupStatus> = emptyList()

    /** Whether a controller was paused between its lease check and sending an order, which no waiting time covers. */
    var ordersWereHeld = false

    private var checkedVersions = 0
    private val membersOf = HashMap<Pair<GroupId, Generation>, ServingGroup>()
    private val newestGenerations = HashMap<GroupId, Generation>()
    private val orderedBy = HashMap<Vm, LeaseEpoch>()
    val readyGroups get() = latest.filter { it.readiness == GroupReadiness.READY }
    val log = mutableListOf<String>()

    init {
        this.controllers.forEach { it.start() }
    }

    private fun accepted(version: Long, modelVersion: String, wanted: Int): AcceptedBundle {
        val models =
            listOf(
                ModelEntry(ServiceName("chat"), modelVersion, 3, mapOf(name to wanted), coldLimit = 2, warmLimit = 8),
                ModelEntry(ServiceName("notes"), "1", 2, mapOf(name to 1), coldLimit = 2, warmLimit = 8),
            )
        val vms = engines.values.map {
            VmEntry(it.vm, name, FabricDomain(it.domain), endpoint(it.vm), 8, it.checksFencing)
        }
        val bundle = Bundle("test", "ub", listOf(name), vms, emptyList(), models, emptyList(), emptyList())
        return AcceptedBundle(BundleVersion(version), bundle, "", "", "")
    }

    private fun endpoint(vm: Vm) = Endpoint("$vm:1")

    fun changeBundle(modelVersion: String, wanted: Int) {
        val version = (control.bundle?.version?.value ?: 0) + 1
        changeControl(control.copy(bundle = accepted(version, modelVersion, wanted)))
    }

    fun changeOverrides(change: Overrides.() -> Overrides) =
        changeControl(control.copy(overrides = control.overrides.change()))

    fun changeLeaving(next: Set<Vm>) {
        leaving = next
        changeControl(control)
    }

    private fun changeControl(next: ControlState) {
        control = next
        controllers.forEach { it.controlChanged(next, leaving) }
    }

    fun cutOff(controller: Int, domain: Int, length: Duration) {
        cutOff[controller to domains[domain]] = time.now + length
    }

    fun inDomain(domain: Int) = engines.values.filter { it.domain == domains[domain] }

    private fun canReach(controller: Int, engine: SimulatedEngine) =
        !engine.isSilent && cutOff[controller to engine.domain].let { it == null || time.now >= it }

    fun report(controller: Int, vm: Vm, answer: (MemberReport?) -> Unit) {
        val engine = engines.getValue(vm)
        time.after(20.milliseconds) {
            val report = if (canReach(controller, engine)) engine.report() else null
            time.after(if (report == null) 780.milliseconds else 20.milliseconds) { answer(report) }
        }
    }

    fun send(controller: Int, order: MemberOrder, held: Duration, answer: (OrderResult) -> Unit) {
        if (held > Duration.ZERO) ordersWereHeld = true
        time.after(held + controllers[controller].orderDelay) { arrive(controller, order, answer) }
    }

    private fun arrive(controller: Int, order: MemberOrder, answer: (OrderResult) -> Unit) {
        val engine = engines.getValue(order.vm)
        when {
            !canReach(controller, engine) -> answer(OrderResult.Failed("not reached"))
            else -> {
                val result = engine.accept(order)
                val former = orderedBy[order.vm] ?: order.epoch
                if (!engine.checksFencing && !ordersWereHeld) {
                    assertTrue(
                        order.epoch >= former,
                        "${order.vm} received an order of epoch ${order.epoch} after one of epoch $former",
                    )
                }
                orderedBy[order.vm] = maxOf(former, order.epoch)
                log += "${time.now} order ${order.vm} ${order.assignment.group}/${order.assignment.generation} $result"
                time.after(20.milliseconds) { answer(result) }
            }
        }
    }

    fun published(status: ZoneStatus) {
        status.groups.filter { it.readiness == GroupReadiness.READY }.forEach(::checkReadiness)
        val line = status.groups.joinToString { "${it.group}/${it.generation}=${it.readiness}" }
        if (log.lastOrNull { " status " in it }?.endsWith(" $line") != true) log += "${time.now} status $line"
        latest = status.groups
    }

    /** A report can be as old as the time after which a member counts as lost, plus its transit time. */
    private fun checkReadiness(status: GroupStatus) {
        val group = membersOf.getValue(status.group to status.generation)
        assertEquals(group.members, status.members)
        group.assignments().forEach { (vm, assignment) ->
            val isTrue = engines.getValue(vm).wasReadyAs(assignment, settings.members.lostAfter + 1.seconds)
            assertTrue(isTrue, "$status is published as ready, but $vm is not ready")
        }
    }

    /** Checks the invariants; called after every event. */
    fun check() {
        placement.versions.drop(checkedVersions).forEach { (version, written) -> checkPlacement(version, written) }
        checkedVersions = placement.versions.size
        checkServing()
    }

    private fun checkPlacement(version: Long, written: Placement) {
        val vms = written.groups.flatMap { it.vms() }
        assertEquals(vms.size, vms.toSet().size, "a VM is in two groups: $written")
        written.groups.forEach { group ->
            val identity = group.copy(preparing = emptyMap())
            assertEquals(identity, membersOf.getOrPut(group.group to group.generation) { identity })
            assertTrue(
                newestGenerations[group.group].let { it == null || it <= group.generation },
                "the generation of $group decreased",
            )
            newestGenerations[group.group] = group.generation
            assertTrue(
                group.members.all { engines.getValue(it).domain == group.fabricDomain.value },
                "$group spans several fabric domains",
            )
        }
        log += "${time.now} placement epoch=${written.epoch} " + written.groups.joinToString { it.line() }
        controllers.forEach { controller ->
            time.after(150.milliseconds) {
                controller.placementReceived(StoredPlacement(PlacementVersion(version), written))
            }
        }
    }

    private fun ServingGroup.line() = "$group/$generation ${members.joinToString("+")}" +
        preparing.entries.joinToString("") { " ${it.value}->${it.key}" }

    /** A leader serves if its members are ready in its group and generation; they must then be the written members. */
    private fun checkServing() {
        engines.values.mapNotNull {
            it.order
        }.filter { it.assignment.shard.rank == 0 && it.members.isNotEmpty() }.forEach { order ->
            val members = order.members.map { engines.getValue(it.first) }
            val serves =
                members.withIndex().all { (rank, engine) ->
                    engine.isReadyAs(order.assignment.copy(shard = order.assignment.shard.copy(rank = rank)))
                }
            if (serves) {
                val written = membersOf[order.assignment.group to order.assignment.generation]
                assertEquals(
                    written?.members,
                    members.map { it.vm },
                    "a group serves with members that differ from the written ones",
                )
            }
        }
    }
}
