package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.version.bundle.FabricDomain

/** Engines of one fabric domain that could form groups of [receiver]. */
internal data class MoveCandidate(
    val receiver: ModelSpec,
    /** Model of [donors]; null if only spares are used. */
    val donor: ModelSpec?,
    val donors: List<GroupId>,
    val engines: List<BackendServer>,
    /** Number of groups that are formed. */
    val formed: Int,
    val cost: MoveCost,
)

/** Finds, for a model that lacks slots, the engines of each fabric domain that could form groups of it. */
internal class MoveCandidates(
    private val view: FormationDemand,
    private val settings: DemandSettings,
    private val receiver: ModelSpec,
    private val spareGroups: (ModelName) -> Int,
    private val mayReleaseReserve: Boolean,
) {
    private val formation = view.formation
    private val inGroups = formation.groups.values.flatMapTo(HashSet()) { it.members }

    fun find(): List<MoveCandidate> {
        val idle = view.table.engines.values.filter(::isIdle).groupBy { it.status.domain }
        val donors = view.pool.models.filter { it != receiver }.associateWith { spareGroups(it.name) }
        val groups = formation.groups.values
            .filter { it.stage == GroupStage.SERVING }
            .groupBy { view.table.engines[it.members.first()]?.status?.domain }
        return (idle.keys + groups.keys).flatMap { domain ->
            val spares = idle[domain].orEmpty()
            val fromGroups = donors.filterValues { it > 0 }.mapNotNull { (donor, available) ->
                ofGroups(donor, available, groups[domain].orEmpty().filter { it.model == donor.name }, spares)
            }
            listOfNotNull(ofSpares(spares, domain)) + fromGroups
        }
    }

    private fun isIdle(engine: TrackedEngine) = engine.status.service == view.service.name &&
        engine.status.membership == null &&
        engine.status.staged.isNotEmpty() &&
        view.table.acceptsWork(engine) &&
        engine.id !in inGroups &&
        engine.id !in formation.lost &&
        engine.id !in formation.unresponsive &&
        engine.id !in formation.loads

    private fun TrackedEngine.hasWeights() = receiver.name in status.staged

    /** A group of idle engines, some of which have another model staged; they give up being replacements for it. */
    private fun ofSpares(spares: List<TrackedEngine>, domain: FabricDomain?): MoveCandidate? {
        if (!mayReleaseReserve || domain == null && spares.isEmpty()) return null
        val members = spares.sortedByDescending { it.hasWeights() }.take(receiver.groupSize)
        val missing = members.count { !it.hasWeights() }
        // Engines that all have the weights need no move: the formation uses them at once.
        if (members.size < receiver.groupSize || missing == 0) return null
        return candidate(null, emptyList(), members.map { it.id }, 1, missing)
    }

    /** The fewest groups of [donor] whose members complete a group of the receiver with the spares that fit. */
    private fun ofGroups(
        donor: ModelSpec,
        available: Int,
        groups: List<FormedGroup>,
        spares: List<TrackedEngine>,
    ): MoveCandidate? {
        val fitting = spares.count { it.hasWeights() }
        val needed = (receiver.groupSize - fitting).coerceAtLeast(1)
        val closed = (needed + donor.groupSize - 1) / donor.groupSize
        if (closed > minOf(available, groups.size)) return null
        val chosen = groups.sortedBy { group -> group.members.count { !isStaged(it) } }.take(closed)
        val members = chosen.flatMap { it.members }
        val formed = (fitting + members.size) / receiver.groupSize
        return candidate(donor, chosen.map { it.id }, members, formed, members.count { !isStaged(it) })
    }

    private fun isStaged(id: BackendServer) = view.table.engines[id]?.hasWeights() == true

    private fun candidate(
        donor: ModelSpec?,
        donors: List<GroupId>,
        engines: List<BackendServer>,
        formed: Int,
        missing: Int,
    ): MoveCandidate {
        val cost = MoveArithmetic.cost(view.pool, receiver, donors.size, formed, missing, settings)
        return MoveCandidate(receiver, donor, donors, engines, formed, cost)
    }
}
