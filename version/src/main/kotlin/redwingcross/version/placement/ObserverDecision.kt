package redwingcross.version.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import redwingcross.request.Vm
import redwingcross.request.with
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration

/** State of one process as observer of a zone. */
data class ObserverState(
    val zone: AvailabilityZone,
    val self: ProcessName,
    val times: MemberTimeouts = MemberTimeouts(),
    /** Whether this process is the active observer, which publishes statuses; false for a standby. */
    val live: Boolean = false,
    val endpoints: Map<Vm, Endpoint> = emptyMap(),
    /** Latest placement received; null before the first one. */
    val placement: StoredPlacement? = null,
    /** Latest status of another observer, used until the first placement is received. */
    val peerStatus: ZoneStatus? = null,
    val views: MemberViews = emptyMap(),
    /** Sequence number of the last published status. */
    val sequence: Long = 0,
)

/** Input of [ObserverDecision]. */
sealed interface ObserverMessage {
    /** Publishes a status if this process is the active observer; sent every second. */
    data object Tick : ObserverMessage

    /** This process became or ceased to be the active observer. */
    data class LiveChanged(val live: Boolean) : ObserverMessage

    /** The engine endpoints of the zone's VMs according to the bundle. */
    data class EndpointsChanged(val endpoints: Map<Vm, Endpoint>) : ObserverMessage

    data class PlacementReceived(val stored: StoredPlacement) : ObserverMessage

    /** Another observer published [status]. */
    data class StatusReceived(val status: ZoneStatus) : ObserverMessage

    data class ReportArrived(val vm: Vm, val report: MemberReport, val requestedAt: Duration) : ObserverMessage

    data class ReportMissed(val vm: Vm, val requestedAt: Duration) : ObserverMessage
}

/** An action that the owning task carries out for the observer. */
sealed interface ObserverEffect {
    data class Publish(val status: ZoneStatus) : ObserverEffect
}

/** Computes the [ZoneStatus] by which gateways route from the reports of a zone's engines. Needs no lease. */
object ObserverDecision {
    /** Computes the next state and effects of [message] at [now]. */
    fun step(state: ObserverState, message: ObserverMessage, now: Duration): Transition<ObserverState, ObserverEffect> =
        when (message) {
            ObserverMessage.Tick -> publish(state, now)
            is ObserverMessage.LiveChanged -> state.copy(live = message.live).with()
            is ObserverMessage.EndpointsChanged -> state.copy(endpoints = message.endpoints).with()
            is ObserverMessage.PlacementReceived -> state.withPlacement(message.stored).with()
            is ObserverMessage.StatusReceived -> state.copy(peerStatus = message.status).with()
            is ObserverMessage.ReportArrived ->
                state.withView(message.vm) { it.applyReport(message.report, message.requestedAt) }.with()
            is ObserverMessage.ReportMissed -> state.withView(message.vm) { it.applyMiss(message.requestedAt) }.with()
        }

    private fun publish(state: ObserverState, now: Duration): Transition<ObserverState, ObserverEffect> {
        val groups = state.groups()
        if (!state.live || groups == null) return state.with()
        val sequence = state.sequence + 1
        val status = ZoneStatus(state.zone, state.self, sequence, groups.mapNotNull { state.status(it, now) })
        return state.copy(sequence = sequence).with(ObserverEffect.Publish(status))
    }

    /** A group to observe; the model version is unknown if only a status was received. */
    private data class ObservedGroup(val group: ServingGroup, val versionKnown: Boolean)

    private fun ObserverState.groups(): List<ObservedGroup>? =
        placement?.placement?.groups?.map { ObservedGroup(it, versionKnown = true) }
            ?: peerStatus?.groups?.map { ObservedGroup(it.asGroup(), versionKnown = false) }

    private fun GroupStatus.asGroup() = ServingGroup(group, generation, model, "", FabricDomain(""), members)

    private fun ObserverState.status(observed: ObservedGroup, now: Duration): GroupStatus? {
        val group = observed.group
        val endpoint = endpoints[group.leader] ?: return null
        val problems = group.assignments().mapNotNull { (vm, wanted) -> problem(vm, wanted, observed, now) }
        return GroupStatus(
            group = group.group,
            generation = group.generation,
            model = group.model,
            leader = group.leader,
            leaderEndpoint = endpoint,
            members = group.members,
            readiness = problems.maxOfOrNull { it.readiness } ?: GroupReadiness.READY,
            incarnation = views[group.leader]?.report?.bootId ?: BootId(""),
            readyFor = if (problems.isEmpty()) readyFor(group, now) else Duration.ZERO,
            reason = problems.joinToString("; ") { it.text },
        )
    }

    /** A reason why a group is not ready. */
    private class Problem(val readiness: GroupReadiness, val text: String)

    private fun ObserverState.problem(vm: Vm, wanted: Assignment, observed: ObservedGroup, now: Duration): Problem? {
        val view = views[vm]
        val report = view?.report
        val found = report?.assignment
        return when {
            view == null || report == null || !view.isCurrent(now, times) ->
                Problem(GroupReadiness.SUSPENDED, "$vm has no current report")
            found?.comparable(observed) != wanted.comparable(observed) ->
                Problem(
                    GroupReadiness.LOADING,
                    "$vm reports ${found?.let {
                        "${it.group}/${it.generation}"
                    } ?: "no group"}",
                )
            !report.ready -> Problem(GroupReadiness.LOADING, "$vm loads")
            else -> null
        }
    }

    private fun Assignment.comparable(observed: ObservedGroup): Assignment =
        if (observed.versionKnown) this else copy(shard = shard.copy(modelVersion = ""))

    /** Time since the last member became ready, which determines how warm the group is. */
    private fun ObserverState.readyFor(group: ServingGroup, now: Duration): Duration = group.members.minOf { vm ->
        val view = views.getValue(vm)
        (view.report?.readyFor ?: Duration.ZERO) + (now - (view.requestedAt ?: now))
    }

    private fun ObserverState.withPlacement(stored: StoredPlacement): ObserverState =
        if (placement == null || stored.version > placement.version) copy(placement = stored) else this

    private fun ObserverState.withView(vm: Vm, next: (MemberView) -> MemberView): ObserverState =
        copy(views = views + (vm to next(views[vm] ?: MemberView())))
}
