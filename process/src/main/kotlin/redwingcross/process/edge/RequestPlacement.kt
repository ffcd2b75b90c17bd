package redwingcross.process.edge

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.version.forwarding.BackendChoice
import redwingcross.version.forwarding.BackendChooser
import redwingcross.version.forwarding.BackendLoad
import redwingcross.version.forwarding.ChoiceContext
import redwingcross.version.forwarding.ChoiceRequest
import redwingcross.version.forwarding.ChosenBackend
import redwingcross.version.forwarding.ForwardTask
import redwingcross.version.places.OwnedGroup
import redwingcross.version.places.PlaceDecision
import redwingcross.version.places.PlaceKind
import redwingcross.version.places.PlaceRequest
import kotlin.time.Duration

/** Chooses the back ends of a gateway's requests: with the owner of the places if it answers, else by itself. */
class RequestPlacement(
    private val dependencies: GatewayDependencies,
    private val chooser: BackendChooser,
    load: BackendLoad,
    /** Groups that currently make no progress. */
    private val stalledGroups: () -> Set<GroupId>,
) {
    /** Asks for places and grants them; null if groups are chosen without an owner. */
    val places: PlaceTask<ForwardTask>? = dependencies.places?.let { network ->
        PlaceTask(
            network,
            dependencies.clock,
            dependencies.runLater,
            { load.ownCounts },
            ::groupsToGrant,
            dependencies.log,
        )
    }

    /** Chooses a back end for a request. */
    fun choose(request: ChoiceRequest): BackendChoice {
        val now = dependencies.clock.now()
        val fleet = dependencies.fleet()
        val terms = request.terms(fleet.configuration) ?: return BackendChoice.NoneServing
        val context = context(fleet, request.excluded, request.isResuming, now)
        val model = request.model
        if (model == null || terms.pool == null) return chooser.chooseServer(terms, context)
        val decision = request.toPlaceRequest(priority = 0)?.let { places?.decide(it) }
        if (decision == PlaceDecision.Wait) return BackendChoice.AllBusy
        val granted = (decision as? PlaceDecision.UseGrant)?.head
        return chooser.chooseGroup(terms, model, fleet.servingGroups(terms, now), context, granted)
    }

    /** Another back end for a request whose own is silent; null unless one that isn't silent itself has a place. */
    fun chooseMove(request: ChoiceRequest): ChosenBackend? =
        (choose(request) as? BackendChoice.Chosen)?.backend?.takeIf { it.group !in stalledGroups() }

    /** Asks for a place for [task], and calls [choose] when a back end is to be chosen. */
    fun beforeChoice(task: ForwardTask, choose: () -> Unit) {
        val request = places?.let { task.choiceRequest().toPlaceRequest(task.job.priority) }
        if (request == null) choose() else places?.prepare(task, request, choose)
    }

    private fun groupsToGrant(kind: PlaceKind): List<OwnedGroup>? {
        val now = dependencies.clock.now()
        val fleet = dependencies.fleet()
        val spec = fleet.configuration?.services?.get(kind.service)?.takeIf { it.pool != null } ?: return null
        val context = context(fleet, emptySet(), isResuming = false, now)
        return chooser.groupsToGrant(spec, kind.model, fleet.servingGroups(kind.service, now), context)
    }

    private fun context(fleet: FleetState, excluded: Set<BackendServer>, isResuming: Boolean, now: Duration) =
        ChoiceContext(fleet.table, dependencies.gatewayShare(), excluded, stalledGroups(), isResuming, now)

    /** What to ask the owner of the places for; null if the request is for a plain service. */
    private fun ChoiceRequest.toPlaceRequest(priority: Int): PlaceRequest? =
        model?.let { PlaceRequest(PlaceKind(service, it), excluded, isResuming, priority) }
}
