package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.EngineTable
import redwingcross.version.fleet.FleetConfiguration
import redwingcross.version.fleet.FormationDecision
import redwingcross.version.fleet.FormationEffect
import redwingcross.version.fleet.FormationOrder
import redwingcross.version.fleet.FormationSettings
import redwingcross.version.fleet.FormationState
import redwingcross.version.fleet.FormationView
import redwingcross.version.fleet.FormedGroup
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupStage
import redwingcross.version.fleet.OrderCount
import redwingcross.version.fleet.OrderOutcome
import redwingcross.version.fleet.ServiceTerms
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.fleet.lostGroups
import redwingcross.version.lease.LeaseDecision
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseRecord
import redwingcross.version.lease.LeaseSettings
import redwingcross.version.lease.LeaseState
import redwingcross.version.lease.LeaseVersion
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the controller's task hears. */
sealed interface ControllerMessage {
    data object Tick : ControllerMessage

    data class Lease(val message: LeaseMessage) : ControllerMessage

    /** [report] is null if the engine did not answer; [refused] if nothing listens at its address. */
    data class Asked(
        val service: ServiceName,
        val engine: BackendServer,
        val report: EngineReport?,
        val refused: Boolean,
    ) : ControllerMessage

    data class Ordered(val service: ServiceName, val engine: BackendServer, val outcome: OrderOutcome) :
        ControllerMessage

    data class Suspected(val group: GroupId) : ControllerMessage

    /** The process stops. */
    data object Release : ControllerMessage
}

/** What the controller's task needs from the rest of the process. */
@Suppress("LongParameterList")
class ControllerLinks(
    val configuration: () -> FleetConfiguration?,
    val table: () -> EngineTable,
    val trafficSeen: () -> Boolean,
    /** Whether this process hears more than half of the others. */
    val hearsMajority: () -> Boolean,
    /** Whether the store answers this process. */
    val storeAnswers: () -> Boolean,
    val applyReport: (BackendServer, EngineReport) -> Unit,
    /** An engine left its group and has accepted that many orders. */
    val applyLeave: (BackendServer, OrderCount) -> Unit,
    /** The process no longer asks engines, so what they reported grows old. */
    val forgetReports: () -> Unit,
    val readLease: (call: Long) -> Unit,
    val writeLease: (call: Long, expected: LeaseVersion?, record: LeaseRecord) -> Unit,
    val ask: (ServiceName, BackendServer, Endpoint) -> Unit,
    val order: (ServiceName, BackendServer, Endpoint, FormationOrder, OrderCount) -> Unit,
    /** Makes the groups of a service known to every gateway. */
    val announce: (ServiceName, LeaseEpoch, Announcement) -> Unit,
    /** Processes that announcements go to. */
    val listeners: () -> Int,
)

/** The groups of a service as they were last announced. */
data class Announcement(
    val serving: List<ServingGroup>,
    /** Groups that have lost a member; their streams have to move. */
    val lost: Set<GroupId>,
    /** How long the announcement stands if no other follows. */
    val lifetime: Duration,
    val at: Duration,
    /** How often the same groups were announced before. */
    val repetitions: Int,
)

/** Owns the lease of the controller's duties and, while it holds it, the formation of the serving groups. */
class ControllerTask(
    self: ProcessName,
    incarnation: String,
    private val links: ControllerLinks,
    private val clock: MonotonicClock,
    private val log: LogEvent,
) {
    private var lease = LeaseState(self, incarnation, LEASE_SETTINGS)
    private var formations = emptyMap<ServiceName, FormationState>()
    private var actingEpoch: LeaseEpoch? = null
    private var lastGroupEpoch = GroupEpoch(0)
    private var announcements = emptyMap<ServiceName, Announcement>()

    /** The lease that this process holds, for its beats. */
    val heldLease: DutyBeat?
        get() = lease.held?.takeIf { actingEpoch != null }?.let { DutyBeat(it.seen.version.value, it.seen.record) }

    /** Groups that this process forms and watches. */
    val groups: List<FormedGroup> get() = formations.values.flatMap { it.groups.values }

    /** Whether this process carries out the controller's duties. */
    val isActing: Boolean get() = actingEpoch != null

    fun handle(message: ControllerMessage) {
        when (message) {
            ControllerMessage.Tick -> {
                lease(LeaseMessage.Tick)
                act()
            }
            is ControllerMessage.Lease -> lease(message.message)
            is ControllerMessage.Asked -> asked(message)
            is ControllerMessage.Ordered -> ordered(message)
            is ControllerMessage.Suspected -> {
                val now = clock.now()
                formations = formations.mapValues { FormationDecision.suspected(it.value, message.group, now) }
                act()
            }
            ControllerMessage.Release -> lease(LeaseMessage.Release)
        }
    }

    private fun asked(message: ControllerMessage.Asked) {
        if (message.service !in formations) return
        val report = message.report
        if (report != null) {
            links.applyReport(message.engine, report)
            change(message.service) { FormationDecision.answered(it, message.engine, report) }
        } else {
            change(message.service) {
                FormationDecision.unanswered(it, message.engine, message.refused, SETTINGS, clock.now())
            }
        }
    }

    private fun ordered(message: ControllerMessage.Ordered) {
        val pool = links.configuration()?.services?.get(message.service)?.pool ?: return
        val call = formations[message.service]?.calls?.get(message.engine)
        val expected = call?.expected
        if (message.outcome == OrderOutcome.DONE && call?.order is FormationOrder.Leave && expected != null) {
            links.applyLeave(message.engine, OrderCount(expected.value + 1))
        }
        change(message.service) {
            FormationDecision.ordered(it, message.engine, message.outcome, pool, clock.now())
        }
    }

    private fun change(service: ServiceName, next: (FormationState) -> FormationState) {
        val state = formations[service] ?: return
        formations = formations + (service to next(state))
        act()
    }

    private fun lease(message: LeaseMessage) {
        val transition = LeaseDecision.step(lease, message, clock.now())
        lease = transition.state
        for (effect in transition.effects) {
            when (effect) {
                is LeaseEffect.Read -> links.readLease(effect.call)
                is LeaseEffect.Write -> links.writeLease(effect.call, effect.expected, effect.record)
                is LeaseEffect.Acquired -> log("duties_taken", arrayOf("epoch" to effect.epoch.value))
                is LeaseEffect.Lost -> log("duties_lost", arrayOf("epoch" to effect.epoch.value))
                LeaseEffect.Released -> log("duties_released", emptyArray())
            }
        }
        updateActing()
    }

    /**
     * The holder goes on while the store is away, as long as it hears most of the others: nobody can take the lease
     * then, and orders are safe without it.
     */
    private fun updateActing() {
        val held = lease.held?.takeIf { !lease.releasing }
        val mayAct = held != null &&
            (lease.actingEpoch(clock.now()) != null || (!links.storeAnswers() && links.hearsMajority()))
        val next = if (mayAct) held.seen.record.epoch else null
        if (next == actingEpoch) return
        actingEpoch = next
        if (next == null) links.forgetReports()
        formations = emptyMap()
        announcements = emptyMap()
        log("duties_state", arrayOf("acting" to (next != null), "epoch" to next?.value))
    }

    private fun act() {
        updateActing()
        val epoch = actingEpoch ?: return
        val configuration = links.configuration() ?: return
        for (service in configuration.services.values) {
            val pool = service.pool ?: continue
            val start = formations[service.name] ?: FormationState(epoch, epoch = firstEpoch(epoch))
            val view = FormationView(links.table(), service, pool, links.trafficSeen(), SETTINGS)
            val transition = FormationDecision.step(start, view, clock.now())
            formations = formations + (service.name to transition.state)
            lastGroupEpoch = maxOf(lastGroupEpoch, transition.state.epoch)
            transition.effects.forEach { carryOut(service.name, it) }
            announce(service, epoch, transition.state)
        }
    }

    /** A group's epoch is used once, also if this process lost the duties and took them again under the same lease. */
    private fun firstEpoch(lease: LeaseEpoch) = maxOf(GroupEpoch(lease.value * EPOCHS_PER_LEASE), lastGroupEpoch)

    private fun carryOut(service: ServiceName, effect: FormationEffect) {
        when (effect) {
            is FormationEffect.Ask -> links.ask(service, effect.engine, effect.address)
            is FormationEffect.Send ->
                links.order(service, effect.engine, effect.address, effect.order, effect.expectedOrders)
            is FormationEffect.Note -> log(effect.event, effect.pairs.toTypedArray())
        }
    }

    private fun announce(service: ServiceTerms, epoch: LeaseEpoch, state: FormationState) {
        val now = clock.now()
        val table = links.table()
        val serving = state.groups.values.filter { it.stage == GroupStage.SERVING }.mapNotNull { group ->
            val head = group.members.first().takeIf { it in table.engines } ?: return@mapNotNull null
            ServingGroup(group.id, group.epoch, service.name, group.model, head)
        }
        val lost = state.lostGroups()
        val last = announcements[service.name]
        val interval = if (links.listeners() <= FEW_LISTENERS) SHORT_INTERVAL else LONG_INTERVAL
        val repetitions = if (last?.serving == serving && last.lost == lost) last.repetitions + 1 else 0
        val pause = if (repetitions in 1..EARLY_REPETITIONS) SHORT_INTERVAL else interval
        if (last != null && repetitions > 0 && now - last.at < pause) return
        val next = Announcement(serving, lost, interval * INTERVALS_OF_LIFETIME, now, repetitions)
        announcements = announcements + (service.name to next)
        links.announce(service.name, epoch, next)
    }

    private companion object {
        val SETTINGS = FormationSettings()

        /** Groups that one holder of the lease may form; later holders use higher epochs. */
        const val EPOCHS_PER_LEASE = 100_000L

        /** Announcements are repeated, because datagrams are lost at times. */
        val SHORT_INTERVAL = 500.milliseconds

        /** With many listeners, the steady repetition would take a good part of a small VM's link. */
        val LONG_INTERVAL = 2.seconds
        const val FEW_LISTENERS = 24

        /** Repetitions that follow a change quickly whatever the number of listeners. */
        const val EARLY_REPETITIONS = 2

        /** Several announcements in a row may be lost before the controller is taken for gone. */
        const val INTERVALS_OF_LIFETIME = 4

        /** Short, because groups that lose a member wait for the next holder. */
        val LEASE_SETTINGS = LeaseSettings(
            duration = 1.2.seconds,
            renewInterval = 0.5.seconds,
            margin = 0.2.seconds,
            retryInterval = 0.3.seconds,
            rankDelay = 0.2.seconds,
        )
    }
}
