package redwingcross.version.placement

import redwingcross.request.AvailabilityZone
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import redwingcross.request.Vm
import redwingcross.request.with
import redwingcross.version.bundle.Endpoint
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration

/** State of one process as observer of a zone, live or standing by. */
data class ObserverState(
    val zone: AvailabilityZone,
    val self: ProcessName,
    val times: MemberTimeouts = MemberTimeouts(),
    val live: Boolean = false,
    val endpoints: Map<Vm, Endpoint> = emptyMap(),
    /** Newest placement that was read; null until then. */
    val placement: StoredPlacement? = null,
    /** Newest status of another observer, used until a placement was read. */
    val heard: ZoneStatus? = null,
    val views: MemberViews = emptyMap(),
    val sequence: Long = 0,
)

/** What the observer of a zone learns. */
sealed interface ObserverMessage {
    /** Publishes a status if this process is the live observer; sent every second. */
    data object Tick : ObserverMessage

    data class LiveChanged(val live: Boolean) : ObserverMessage

    data class EndpointsChanged(val endpoints: Map<Vm, Endpoint>) : ObserverMessage

    data class PlacementReceived(val stored: StoredPlacement) : ObserverMessage

    data class StatusReceived(val status: ZoneStatus) : ObserverMessage

    data class ReportArrived(val vm: Vm, val report: MemberReport, val requestedAt: Duration) : ObserverMessage

    data class ReportMissed(val vm: Vm, val requestedAt: Duration) : ObserverMessage
}

/** What the owning task carries out for the observer. */
sealed interface ObserverEffect {
    data class Publish(val status: ZoneStatus) : ObserverEffect
}

/** Turns the reports of a zone's engines into the [ZoneStatus] that gateways route by. Needs no lease. */
object ObserverDecision {
    fun step(state: ObserverState, message: ObserverMessage, now: Duration): Transition<ObserverState, ObserverEffect> =
        when (message) {
            ObserverMessage.Tick -> publish(state, now)
            is ObserverMessage.LiveChanged -> state.copy(live = message.live).with()
            is ObserverMessage.EndpointsChanged -> state.copy(endpoints = message.endpoints).with()
            is ObserverMessage.PlacementReceived -> state.adopting(message.stored).with()
            is ObserverMessage.StatusReceived -> state.copy(heard = message.status).with()
            is ObserverMessage.ReportArrived ->
                state.viewing(message.vm) { it.heard(message.report, message.requestedAt) }.with()
            is ObserverMessage.ReportMissed -> state.viewing(message.vm) { it.missed(message.requestedAt) }.with()
        }

    private fun publish(state: ObserverState, now: Duration): Transition<ObserverState, ObserverEffect> {
        val groups = state.groups()
        if (!state.live || groups == null) return state.with()
        val sequence = state.sequence + 1
        val status = ZoneStatus(state.zone, state.self, sequence, groups.mapNotNull { state.status(it, now) })
        return state.copy(sequence = sequence).with(ObserverEffect.Publish(status))
    }

    /** A group as far as an observer must know it; the model version is unknown if only a status was heard. */
    private data class ObservedGroup(val group: ServingGroup, val versionKnown: Boolean)

    private fun ObserverState.groups(): List<ObservedGroup>? =
        placement?.placement?.groups?.map { ObservedGroup(it, versionKnown = true) }
            ?: heard?.groups?.map { ObservedGroup(it.asGroup(), versionKnown = false) }

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

    /** The member that became ready last determines how warm the group is. */
    private fun ObserverState.readyFor(group: ServingGroup, now: Duration): Duration = group.members.minOf { vm ->
        val view = views.getValue(vm)
        (view.report?.readyFor ?: Duration.ZERO) + (now - (view.requestedAt ?: now))
    }

    private fun ObserverState.adopting(stored: StoredPlacement): ObserverState =
        if (placement == null || stored.version > placement.version) copy(placement = stored) else this

    private fun ObserverState.viewing(vm: Vm, next: (MemberView) -> MemberView): ObserverState =
        copy(views = views + (vm to next(views[vm] ?: MemberView())))
}
