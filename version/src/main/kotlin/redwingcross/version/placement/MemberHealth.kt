package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration

/** What the reports, the bundle and the operators say about the VMs of a zone at one time. */
internal class MemberHealth(private val state: PlacementState, private val now: Duration) {
    val entries = state.entries
    private val times = state.settings.members

    /** Whether every VM either reported or failed to, so that a plan doesn't favour those that answered first. */
    fun isComplete(): Boolean = entries.keys.all { vm -> state.views[vm].let { it?.report != null || isLost(vm) } }

    /** Whether a VM may be a member of a group in [domain]. */
    fun isUsable(vm: Vm, domain: FabricDomain): Boolean =
        entries[vm]?.fabricDomain == domain && vm !in state.control.overrides.unusableVms && vm !in state.leaving

    fun isLost(vm: Vm): Boolean = isMissingFor(vm, times.lostAfter)

    /** Whether a VM answered the last attempt and can be given work of a new group. */
    fun isAlive(vm: Vm): Boolean = state.views[vm]?.let { it.misses == 0 && it.isCurrent(now, times) } == true

    fun isReady(vm: Vm, assignment: Assignment): Boolean = state.views[vm].isReadyAs(assignment, now, times)

    fun isReady(group: ServingGroup): Boolean = group.assignments().all { (vm, assignment) -> isReady(vm, assignment) }

    fun needsReplacement(group: ServingGroup, vm: Vm): Boolean =
        !isUsable(vm, group.fabricDomain) || isMissingFor(vm, times.prepareAfter)

    /** Whether waiting for a VM has gone on for so long that its group may be given up. */
    fun isGivenUp(group: ServingGroup, vm: Vm): Boolean =
        !isUsable(vm, group.fabricDomain) || isMissingFor(vm, times.dissolveAfter)

    /** Weights that a VM holds ready, also those left over from a former group. */
    fun heldShard(vm: Vm): Shard? = state.views[vm]?.report?.takeIf { it.ready }?.assignment?.shard

    /** Members that must be replaced and for which no spare prepares. */
    fun unrepaired(group: ServingGroup): List<Vm> =
        group.members.filter { it !in group.preparing && needsReplacement(group, it) }

    /** Whether a group can be repaired only by the return of a member. */
    fun isDoomed(group: ServingGroup): Boolean = unrepaired(group).any { isGivenUp(group, it) }

    /** Whether a group is doomed and has stopped serving, so that giving its VMs away interrupts nothing. */
    fun isBroken(group: ServingGroup): Boolean =
        isDoomed(group) && group.members.any { isMissingFor(it, times.dissolveAfter) }

    private fun isMissingFor(vm: Vm, time: Duration): Boolean = state.views[vm]?.isMissingFor(time, now, times) == true
}
