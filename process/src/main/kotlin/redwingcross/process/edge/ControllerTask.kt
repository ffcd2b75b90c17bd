package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.MonotonicClock
import redwingcross.request.ProcessName
import redwingcross.request.ServiceName
import redwingcross.version.fleet.CallNumber
import redwingcross.version.fleet.EngineReport
import redwingcross.version.fleet.FormationDecision
import redwingcross.version.fleet.FormationEffect
import redwingcross.version.fleet.FormationSettings
import redwingcross.version.fleet.FormationState
import redwingcross.version.fleet.FormationView
import redwingcross.version.fleet.FormedGroup
import redwingcross.version.fleet.GroupEpoch
import redwingcross.version.fleet.GroupStage
import redwingcross.version.fleet.ModelPool
import redwingcross.version.fleet.ServiceRoutes
import redwingcross.version.fleet.ServiceSpec
import redwingcross.version.fleet.ServingGroup
import redwingcross.version.fleet.StoreEra
import redwingcross.version.fleet.StorePosition
import redwingcross.version.fleet.lostGroups
import redwingcross.version.lease.LeaseDecision
import redwingcross.version.lease.LeaseEffect
import redwingcross.version.lease.LeaseMessage
import redwingcross.version.lease.LeaseSettings
import redwingcross.version.lease.LeaseState
import redwingcross.version.lease.answeredEra
import redwingcross.version.lease.takeoverObstacle
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Owns the controller lease of this process and, while the process holds it, forms and watches the serving groups. */
class ControllerTask(
    self: ProcessName,
    incarnation: String,
    private val dependencies: ControllerDependencies,
    private val clock: MonotonicClock,
    private val log: LogEvent,
    reclaimsLease: Boolean = false,
) {
    private var lease = LeaseState(self, incarnation, LEASE_SETTINGS.copy(reclaimsAfterRestart = reclaimsLease))
    private var formations = emptyMap<ServiceName, FormationState>()
    private var activeEpoch: LeaseEpoch? = null
    private var lastGroupEpoch = GroupEpoch(0)

    /** Last call of any formation; a later formation of this process doesn't reuse the numbers of an earlier one. */
    private var lastCall = CallNumber(0)

    /** Highest lease epoch that a process announced as its own. */
    private var newestEpoch = LeaseEpoch(0)

    /** Point of the acquisition of the lease, up to which the list has to be known before its holder acts. */
    private var requiredListPosition = StorePosition.START
    private var requiredByEpoch: LeaseEpoch? = null

    /** When the store was last seen to be unavailable. */
    private var storeUnavailableAt = -Duration.INFINITE
    private var isStepScheduled = false
    private var lastStepAt = -Duration.INFINITE
    private var announcers = emptyMap<ServiceName, AnnouncerState>()
    private var absence = ControllerAbsenceDecision.controllerKnown(clock.now())

    /** The controller lease for this process's heartbeats; null unless this process is the active controller. */
    val heldLease: HeldControllerLease?
        get() = lease.held?.takeIf { activeEpoch != null }?.let {
            HeldControllerLease.of(it.seen, clock.now() - it.renewedAt)
        }

    /** Groups that this process forms and watches; empty unless it is the active controller. */
    val groups: List<FormedGroup> get() = formations.values.flatMap { it.groups.values }

    /** The group [id] if this process is the active controller and requests run there; else null. */
    fun runningGroup(id: GroupId): FormedGroup? = formations.values.firstNotNullOfOrNull { it.groups[id] }
        ?.takeIf { it.runsRequests }

    /** Whether this process is the active controller. */
    val isActiveController: Boolean get() = activeEpoch != null

    /**
     * Epoch of the lease while it is valid by this process's clock; null otherwise, also while the store is unavailable
     * and the process goes on as active controller.
     */
    val validEpoch: LeaseEpoch? get() = lease.validEpoch(clock.now())?.takeIf { it >= newestEpoch }

    /** Time since this process last acted as controller or heard one; zero while it acts. */
    val controllerAbsence: Duration get() = if (isActiveController) Duration.ZERO else absence.absentFor(clock.now())

    /** Processes one message; called on the event loop only. */
    fun handle(message: ControllerMessage) {
        when (message) {
            ControllerMessage.Tick -> {
                stepLease(LeaseMessage.Tick)
                stepFormations()
                checkAbsence()
            }
            is ControllerMessage.Lease -> {
                (message.message as? LeaseMessage.HolderRenewed)?.let { controllerHeard(it.lease.record.epoch) }
                message.message.answeredEra?.let(::storeRestored)
                stepLease(message.message)
            }
            is ControllerMessage.RoutesAnnounced -> controllerHeard(message.epoch)
            is ControllerMessage.StoreRestored -> storeRestored(message.era)
            is ControllerMessage.RankChanged -> stepLease(LeaseMessage.RankChanged(message.rank))
            is ControllerMessage.ReportRequestCompleted -> reportRequestCompleted(message)
            is ControllerMessage.OrderCompleted -> orderCompleted(message)
            is ControllerMessage.GroupSuspected -> {
                val now = clock.now()
                formations = formations.mapValues { FormationDecision.groupSuspected(it.value, message.group, now) }
                scheduleStep()
            }
            is ControllerMessage.RoutesRequested -> announcers[message.service]?.takeIf {
                activeEpoch == it.epoch
            }?.let {
                dependencies.announce(message.service, it.epoch, RouteAnnouncer.complete(it), message.receiver)
            }
            ControllerMessage.Step -> {
                isStepScheduled = false
                stepFormations()
            }
            ControllerMessage.Release -> stepLease(LeaseMessage.Release)
        }
    }

    /**
     * Records that another process acts under [epoch]. A process that was overtaken ends its role at once, although the
     * store may not answer it.
     */
    private fun controllerHeard(epoch: LeaseEpoch) {
        if (epoch >= newestEpoch) absence = ControllerAbsenceDecision.controllerKnown(clock.now())
        if (epoch <= newestEpoch) return
        newestEpoch = epoch
        stepLease(LeaseMessage.EpochSeen(epoch))
    }

    /**
     * Ends the leases of the earlier eras. Whether this process acts is determined first: one that was paused may not
     * have noticed yet that it doesn't any more.
     */
    private fun storeRestored(era: StoreEra) {
        if (era <= lease.era) return
        updateControllerRole()
        log("lease_era", arrayOf("era" to era.value, "acting" to isActiveController))
        stepLease(LeaseMessage.StoreRestored(era, isActiveController))
    }

    private fun checkAbsence() {
        val now = clock.now()
        if (isActiveController) absence = ControllerAbsenceDecision.controllerKnown(now)
        val (next, absent) = ControllerAbsenceDecision.check(absence, now)
        absence = next
        if (absent == null) return
        log(
            "controller_absent",
            arrayOf(
                "for" to absent,
                "epoch" to maxOf(newestEpoch, lease.seen?.record?.epoch ?: LeaseEpoch(0)).value,
                "era" to lease.seen?.version?.era?.value,
                "revision" to lease.seen?.version?.revision?.value,
                "obstacle" to lease.takeoverObstacle(now).name.lowercase(),
            ),
        )
    }

    private fun reportRequestCompleted(message: ControllerMessage.ReportRequestCompleted) {
        val state = formations[message.service] ?: return
        val answer = message.answer
        val table = dependencies.table()
        val applicable = FormationDecision.applicableReport(state, table, answer)
        updateFormation(message.service) {
            FormationDecision.reportAnswered(it, table, answer, FORMATION_SETTINGS, clock.now())
        }
        if (applicable != null) {
            dependencies.applyReport(answer.engine, applicable)
        } else {
            answer.report?.let { logOtherStart(answer.engine, it) }
        }
    }

    private fun logOtherStart(id: BackendServer, report: EngineReport) {
        val listed = dependencies.table().engines[id]?.status ?: return
        if (listed.start == report.start) return
        log(
            "report_of_other_start",
            arrayOf(
                "engine" to id,
                "address" to listed.address,
                "listed" to listed.start?.unixMillis,
                "reported" to report.start?.unixMillis,
                "orders" to report.orders.value,
                "group" to report.membership?.group,
                "rank" to report.membership?.rank,
            ),
        )
    }

    private fun orderCompleted(message: ControllerMessage.OrderCompleted) {
        val pool = dependencies.configuration()?.services?.get(message.service)?.pool ?: return
        val state = formations[message.service] ?: return
        FormationDecision.ordersAfterLeave(state, dependencies.table(), message.engine, message.call, message.outcome)
            ?.let { dependencies.applyLeave(message.engine, it) }
        updateFormation(message.service) {
            FormationDecision.orderAnswered(it, message.engine, message.call, message.outcome, pool, clock.now())
        }
    }

    private fun updateFormation(service: ServiceName, next: (FormationState) -> FormationState) {
        val state = formations[service] ?: return
        formations = formations + (service to next(state))
        scheduleStep()
    }

    /** Schedules one step for all messages of a short time: a step looks at every engine of the fleet. */
    private fun scheduleStep() {
        if (isStepScheduled) return
        isStepScheduled = true
        dependencies.stepLater(maxOf(Duration.ZERO, lastStepAt + MINIMUM_STEP_INTERVAL - clock.now()))
    }

    private fun stepLease(message: LeaseMessage) {
        val transition = LeaseDecision.step(lease, message, clock.now())
        lease = transition.state
        for (effect in transition.effects) {
            when (effect) {
                is LeaseEffect.Read -> dependencies.readLease(effect.call)
                is LeaseEffect.Write -> dependencies.writeLease(effect.call, effect.expected, effect.record)
                is LeaseEffect.Acquired -> log("duties_taken", arrayOf("epoch" to effect.epoch.value))
                is LeaseEffect.Lost -> log("duties_lost", arrayOf("epoch" to effect.epoch.value))
                LeaseEffect.Released -> log("duties_released", emptyArray())
            }
        }
        updateControllerRole()
    }

    /**
     * Starts or ends the controller role of this process. A process that was overtaken by one with a higher epoch has
     * lost the role, although it may not know so from the store. While the store is unavailable, the holder keeps the
     * role as long as it can reach a majority of the processes: no other process can acquire the lease then, and orders
     * to engines are safe without a valid lease. It also keeps the role until its first renewal after the outage.
     */
    private fun updateControllerRole() {
        val held = lease.held?.takeIf { !lease.releasing }
        val isExcused = isExcusedFromRenewal()
        val canAct = held != null &&
            held.seen.record.epoch >= newestEpoch &&
            (lease.validEpoch(clock.now()) != null || isExcused && dependencies.isMajorityReachable())
        val next = if (canAct) held.seen.record.epoch else null
        if (next == activeEpoch) return
        activeEpoch = next
        if (next != null && next != requiredByEpoch) {
            requiredByEpoch = next
            requiredListPosition = held?.seen?.version ?: StorePosition.START
        }
        if (next == null) dependencies.discardReports()
        formations = emptyMap()
        announcers = emptyMap()
        log("duties_state", arrayOf("acting" to (next != null), "epoch" to next?.value))
        if (next != null) dependencies.becameController()
    }

    /** Whether the store is unavailable, or this process acts and the store was unavailable until a moment ago. */
    private fun isExcusedFromRenewal(): Boolean {
        val now = clock.now()
        val isAvailable = dependencies.isStoreAvailable()
        if (!isAvailable) storeUnavailableAt = now
        return !isAvailable || isActiveController && now - storeUnavailableAt < RENEWAL_GRACE
    }

    private fun stepFormations() {
        lastStepAt = clock.now()
        updateControllerRole()
        val epoch = activeEpoch ?: return
        val configuration = dependencies.configuration() ?: return
        if (!isListCurrent()) return
        for (service in configuration.services.values) {
            val formation = service.pool?.let { stepFormation(service, it, epoch) }
            announce(service, epoch, formation)
        }
    }

    /**
     * Whether the list of engines is at least as new as the lease. A process that was paused or cut off has an old list
     * when it takes over; the gateways know of later changes from the former controller.
     */
    private fun isListCurrent(): Boolean {
        if (!dependencies.isListComplete()) return false
        val isCurrent = dependencies.listPosition() >= requiredListPosition
        if (!isCurrent) dependencies.catchUpList()
        return isCurrent
    }

    private fun stepFormation(service: ServiceSpec, pool: ModelPool, epoch: LeaseEpoch): FormationState {
        val start = formations[service.name] ?: FormationState(epoch, epoch = firstEpoch(epoch), lastCall = lastCall)
        val traffic = dependencies.trafficSeen()
        val demand = if (traffic) dependencies.demandPlan(service, pool, start) else null
        val view = FormationView(dependencies.table(), service, pool, traffic, FORMATION_SETTINGS, demand)
        val transition = FormationDecision.step(start, view, clock.now())
        formations = formations + (service.name to transition.state)
        lastGroupEpoch = maxOf(lastGroupEpoch, transition.state.epoch)
        lastCall = CallNumber(maxOf(lastCall.value, transition.state.lastCall.value))
        transition.effects.forEach { perform(service.name, it) }
        return transition.state
    }

    /** First group epoch; never reuses one, also if this process loses the role and regains it under the same lease. */
    private fun firstEpoch(lease: LeaseEpoch) = maxOf(GroupEpoch(lease.value * EPOCHS_PER_LEASE), lastGroupEpoch)

    private fun perform(service: ServiceName, effect: FormationEffect) {
        when (effect) {
            is FormationEffect.RequestReport -> dependencies.requestReport(service, effect)
            is FormationEffect.Send -> dependencies.sendOrder(service, effect)
            is FormationEffect.LogDecision -> log(effect.event, effect.pairs.toTypedArray())
        }
    }

    private fun announce(service: ServiceSpec, epoch: LeaseEpoch, formation: FormationState?) {
        val now = clock.now()
        val table = dependencies.table()
        val before = announcers[service.name]
            ?: RouteAnnouncer.start(epoch, dependencies.announcedRoutes(service.name))
        val serving = formation?.groups?.values.orEmpty().filter {
            it.stage == GroupStage.SERVING
        }.mapNotNull { group ->
            val head = group.members.first().takeIf { it in table.engines } ?: return@mapNotNull null
            ServingGroup(group.id, group.epoch, service.name, group.model, head)
        }
        val routes = ServiceRoutes.of(service, serving, table, before.routes, now)
        val lost = formation?.lostGroups().orEmpty()
        val (next, announcement) = RouteAnnouncer.publish(before, routes, lost, now)
        announcers = announcers + (service.name to next)
        announcement?.let { dependencies.announce(service.name, epoch, it, null) }
    }

    private companion object {
        val FORMATION_SETTINGS = FormationSettings()

        /**
         * Maximum number of groups that one holder of the lease can form; later holders use higher epochs. Lease epochs
         * reach 9e10 at the highest era (9,000,000), so group epochs stay below 2^53 and keep every digit in JSON.
         */
        const val EPOCHS_PER_LEASE = 100_000L

        /** Bounds the share of a small VM's processor that the formation of a large fleet takes. */
        val MINIMUM_STEP_INTERVAL = 20.milliseconds

        /** Short times, because a group that loses a member is not replaced until there is a new holder. */
        val LEASE_SETTINGS = LeaseSettings(
            duration = 1.2.seconds,
            renewInterval = 0.5.seconds,
            margin = 0.2.seconds,
            retryInterval = 0.3.seconds,
            rankDelay = 0.2.seconds,
            renewalOverdueAfter = 0.95.seconds,
            confirmDelay = 0.4.seconds,
            outageRetryInterval = 2.seconds,
        )

        /**
         * Time after an outage of the store within which its holder renews the lease or learns of a restore: the
         * interval of its calls, and 0.2 s for a tick and the calls. A standby that hears the holder waits about as
         * long before it takes the lease, and the holder hears of that.
         */
        val RENEWAL_GRACE = LEASE_SETTINGS.retryInterval + 0.2.seconds
    }
}
