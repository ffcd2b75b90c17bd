package redwingcross.version.placement

import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.ModelEntry
import kotlin.time.Duration

/**
 * Computes the next placement of a zone: first repairs, then new groups, then the removal of surplus groups, then
 * changes of the model version.
 *
 * A repair never interrupts a group: a spare loads the weights while the group waits or serves, and the generation
 * increases only when the spare is ready. If the member returns first, the group continues unchanged.
 */
internal class GroupPlan(private val state: PlacementState, private val placement: Placement, now: Duration) {
    private val health = MemberHealth(state, now)
    private val models =
        state.control.bundle?.bundle?.models.orEmpty().filter { wanted(it) > 0 }.associateBy { it.model }

    /** The next placement; null if the current one should be kept or cannot be judged yet. */
    fun next(): Placement? {
        if (state.control.bundle == null || placement.zone in state.control.overrides.zonesOut) return null
        if (!health.isComplete()) return null
        val kept = placement.groups.filter { models[it.model]?.vmsPerGroup == it.members.size }
        val repaired = removeUnrepairable(assignSpares(kept.map(::updatePreparing)))
        val formed = formMissing(repaired)
        val groups = rollOutVersion(removeSurplus(formed))
        return if (groups == placement.groups) {
            null
        } else {
            placement.copy(groups = groups, nextGroup = placement.nextGroup + formed.size - repaired.size)
        }
    }

    private fun wanted(model: ModelEntry): Int = model.groupsByZone[placement.zone] ?: 0

    /** Ends preparations that are no longer needed or possible, and replaces members by the spares that are ready. */
    private fun updatePreparing(group: ServingGroup): ServingGroup {
        val open =
            group.preparing.filter { (member, spare) ->
                member in group.members &&
                    health.needsReplacement(group, member) &&
                    health.isUsable(spare, group.fabricDomain) &&
                    !health.isLost(spare)
            }
        val current = group.copy(preparing = open)
        val targets = current.preparations()
        val ready = open.filterValues { spare -> targets[spare]?.let { health.isReady(spare, it) } == true }
        val hasUnreplacedLoss = current.members.any { it !in ready && health.isLost(it) }
        val isPlanned = ready.keys.any { !health.isUsable(it, group.fabricDomain) }
        return if (ready.isEmpty() || (hasUnreplacedLoss && !isPlanned)) current else current.withReplacements(ready)
    }

    /** Replaces members in place, so that every remaining member keeps its rank and its weights. */
    private fun ServingGroup.withReplacements(ready: Map<Vm, Vm>): ServingGroup = copy(
        generation = Generation(generation.value + 1),
        members = members.map { ready[it] ?: it },
        preparing = preparing - ready.keys,
    )

    /** Assigns spares to the groups with the fewest losses first; a group that the spares can't complete gets none. */
    private fun assignSpares(groups: List<ServingGroup>): List<ServingGroup> {
        val changed = LinkedHashMap(groups.associateBy { it.group })
        groups.sortedBy { health.unrepaired(it).size }.forEach { group ->
            val losses = health.unrepaired(group)
            val spares = free(changed.values).filter { health.isUsable(it, group.fabricDomain) }
            if (losses.isNotEmpty() && losses.size <= spares.size) {
                changed[group.group] = group.copy(preparing = group.preparing + chooseSpares(group, losses, spares))
            }
        }
        return changed.values.toList()
    }

    private fun chooseSpares(group: ServingGroup, losses: List<Vm>, spares: List<Vm>): Map<Vm, Vm> {
        val left = spares.toMutableList()
        return losses.associateWith { member ->
            val shard = Shard(group.model, group.modelVersion, group.members.indexOf(member))
            val spare = left.firstOrNull { health.heldShard(it) == shard } ?: left.first()
            left.remove(spare)
            spare
        }
    }

    /** If several groups of a domain can't be repaired, removes a broken one to complete the least damaged one. */
    private fun removeUnrepairable(groups: List<ServingGroup>): List<ServingGroup> {
        val donors =
            groups.filter(health::isUnrepairable).groupBy { it.fabricDomain }.values.mapNotNull { unrepairable ->
                val ordered = unrepairable.sortedBy { health.unrepaired(it).size }
                ordered.drop(1).lastOrNull { health.canBeRemoved(it) && canComplete(ordered.first(), it, groups) }
            }
        return if (donors.isEmpty()) groups else assignSpares(groups - donors.toSet())
    }

    private fun canComplete(group: ServingGroup, donor: ServingGroup, groups: List<ServingGroup>): Boolean {
        val vms = free(groups - donor).filter { health.isUsable(it, group.fabricDomain) }
        return vms.size >= health.unrepaired(group).size
    }

    private fun formMissing(groups: List<ServingGroup>): List<ServingGroup> {
        val missing =
            models.values.map { model ->
                val present = groups.count { it.model == model.model && !health.isUnrepairable(it) }
                MissingGroups(model.model, model.vmsPerGroup, wanted(model) - present, model.fabricDomains.toSet())
            }
        if (missing.none { it.count > 0 }) return groups
        val free = free(groups).groupBy { health.entries.getValue(it).fabricDomain }
        val domains = free.map { (domain, vms) -> FreeDomain(domain, vms.size, acceleratorsOf(vms)) }
        return GroupPacking(missing, domains).pack().fold(groups) { formed, packed ->
            (1..packed.count).fold(formed) { all, _ ->
                all + form(packed, free(all), placement.nextGroup + all.size - groups.size)
            }
        }
    }

    private fun acceleratorsOf(vms: List<Vm>): Int = vms.sumOf { health.entries.getValue(it).accelerators } / vms.size

    private fun form(packed: PackedGroups, free: List<Vm>, number: Long): ServingGroup {
        val model = models.getValue(packed.model)
        val vms = free.filter { health.isUsable(it, packed.domain) }
        return ServingGroup(
            group = GroupId("${model.model}.${placement.zone}.$number"),
            generation = Generation(1),
            model = model.model,
            modelVersion = model.modelVersion,
            fabricDomain = packed.domain,
            members = chooseMembers(model, vms),
        )
    }

    /** VMs that already hold the weights of a rank get that rank; the others fill the remaining ranks in name order. */
    private fun chooseMembers(model: ModelEntry, free: List<Vm>): List<Vm> {
        val left = free.toMutableList()
        val holders =
            (0 until model.vmsPerGroup).map { rank ->
                val shard = Shard(model.model, model.modelVersion, rank)
                left.firstOrNull { health.heldShard(it) == shard }?.also(left::remove)
            }
        return holders.map { it ?: left.removeAt(0) }
    }

    /** Removes at most one surplus group of each model, and only while enough others are ready. */
    private fun removeSurplus(groups: List<ServingGroup>): List<ServingGroup> =
        models.values.fold(groups) { kept, model ->
            val all = kept.filter { it.model == model.model }
            val candidate = all.maxWithOrNull(
                compareBy({ !health.isReady(it) }, health::isUnrepairable, { all.indexOf(it) }),
            )
            val others = all.count { it != candidate && health.isReady(it) }
            if (candidate != null && all.size > wanted(model) && others >= wanted(model)) kept - candidate else kept
        }

    /** Moves one group of each model at a time to the new model version, and only while no other group is changing. */
    private fun rollOutVersion(groups: List<ServingGroup>): List<ServingGroup> {
        val outdated =
            groups.filter { group ->
                val others = groups.filter { it.model == group.model && it != group }
                isOutdated(group) && others.all { isOutdated(it) || health.isReady(it) }
            }
        val chosen = outdated.groupBy { it.model }.values.map { group -> group.minBy { health.isReady(it) } }.toSet()
        return groups.map { if (it in chosen) it.withModelVersion(models.getValue(it.model).modelVersion) else it }
    }

    private fun isOutdated(group: ServingGroup) = group.modelVersion != versionOf(group.model)

    private fun versionOf(model: ServiceName): String? = models[model]?.modelVersion

    private fun ServingGroup.withModelVersion(version: String) =
        copy(generation = Generation(generation.value + 1), modelVersion = version, preparing = emptyMap())

    /** VMs that respond, are usable and belong to no group, sorted by name. */
    private fun free(groups: Collection<ServingGroup>): List<Vm> {
        val taken = groups.flatMap { it.vms() }.toSet()
        return health.entries.values
            .filter { it.vm !in taken && health.isUsable(it.vm, it.fabricDomain) && health.isAlive(it.vm) }
            .map { it.vm }
            .sortedBy { it.value }
    }
}
