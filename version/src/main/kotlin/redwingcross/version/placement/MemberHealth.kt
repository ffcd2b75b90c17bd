package redwingcross.version.placement

import redwingcross.request.Vm
import redwingcross.version.bundle.FabricDomain
import kotlin.time.Duration

/** Health and availability of a zone's VMs at [now], from reports, the bundle and operators' overrides. */
internal class MemberHealth(private val state: PlacementState, private val now: Duration) {
    val entries = state.entries
    private val times = state.settings.members

    /** Whether every VM has reported or is lost, so that a plan does not favour the VMs that responded first. */
    fun isComplete(): Boolean = entries.keys.all { vm -> state.views[vm].let { it?.report != null || isLost(vm) } }

    /** Whether a VM can be a member of a group in [domain]. */
    fun isUsable(vm: Vm, domain: FabricDomain): Boolean =
        entries[vm]?.fabricDomain == domain && vm !in state.control.overrides.unusableVms && vm !in state.leaving

    /** Whether a VM's reports have been missing for [MemberTimeouts.lostAfter]. */
    fun isLost(vm: Vm): Boolean = isMissingFor(vm, times.lostAfter)

    /** Whether a VM responded to the last report request, so that it can join a new group. */
    fun isAlive(vm: Vm): Boolean = state.views[vm]?.let { it.misses == 0 && it.isCurrent(now, times) } == true

    /** Whether a VM reports that it is ready in [assignment]. */
    fun isReady(vm: Vm, assignment: Assignment): Boolean = state.views[vm].isReadyAs(assignment, now, times)

    /** Whether all members of a group are ready. */
    fun isReady(group: ServingGroup): Boolean = group.assignments().all { (vm, assignment) -> isReady(vm, assignment) }

    /** Whether a spare should be prepared to replace a member. */
    fun needsReplacement(group: ServingGroup, vm: Vm): Boolean =
        !isUsable(vm, group.fabricDomain) || isMissingFor(vm, times.prepareAfter)

    /** Whether a VM is unusable for its group or has been missing for [MemberTimeouts.dissolveAfter]. */
    fun isLongUnavailable(group: ServingGroup, vm: Vm): Boolean =
        !isUsable(vm, group.fabricDomain) || isMissingFor(vm, times.dissolveAfter)

    /** Weights that a VM has loaded, including those of an earlier group; null if it has none. */
    fun heldShard(vm: Vm): Shard? = state.views[vm]?.report?.takeIf { it.ready }?.assignment?.shard

    /** Members that must be replaced and for which no spare is being prepared. */
    fun unrepaired(group: ServingGroup): List<Vm> =
        group.members.filter { it !in group.preparing && needsReplacement(group, it) }

    /** Whether a group lacks a spare for a member that is unusable or long missing. */
    fun isUnrepairable(group: ServingGroup): Boolean = unrepaired(group).any { isLongUnavailable(group, it) }

    /** Whether a group is unrepairable and has stopped serving, so that removing it interrupts nothing. */
    fun canBeRemoved(group: ServingGroup): Boolean =
        isUnrepairable(group) && group.members.any { isMissingFor(it, times.dissolveAfter) }

    private fun isMissingFor(vm: Vm, time: Duration): Boolean = state.views[vm]?.isMissingFor(time, now, times) == true
}
