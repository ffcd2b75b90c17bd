package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.version.fleet.GroupStage.JOINING
import redwingcross.version.fleet.GroupStage.LOST
import redwingcross.version.fleet.GroupStage.OPENING
import redwingcross.version.fleet.GroupStage.RETIRING
import redwingcross.version.fleet.GroupStage.SERVING
import redwingcross.version.fleet.GroupStage.SUSPENDED
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moves each group from one stage to the next according to its members' reports. */
internal class GroupLifecycle(private val step: FormationStep) {
    private val view = step.view
    private val now = step.now
    private val state get() = step.state
    private val specs = view.pool.models.associateBy { it.name }
    private val reported = view.table.reportedGroups(view.service.name)

    /** Adopts complete groups that an earlier controller formed. */
    fun adoptGroups() {
        for (group in reported.filter { it.id !in state.groups }) {
            step.raiseEpoch(group.epoch)
            val model = GroupNames.model(group.id)?.let(specs::get)
            val isWhole =
                model != null &&
                    group.isComplete(model.groupSize) &&
                    group.members.none { step.isUnavailable(it.id) }
            if (isWhole) adopt(group, model)
        }
    }

    private fun adopt(group: ReportedGroup, model: ModelSpec) {
        val stage = when (group.head?.status?.membership?.phase) {
            MemberPhase.OPEN -> SERVING
            MemberPhase.CLOSING -> RETIRING
            MemberPhase.BROKEN -> LOST
            else -> JOINING
        }
        step.put(FormedGroup(group.id, group.epoch, model.name, group.members.map { it.id }, stage, now))
        step.logDecision("group_adopted", "group" to group.id, "stage" to stage)
    }

    /** Checks each group and moves it to its next stage if its members' reports allow it. */
    fun advanceGroups() {
        for (group in state.groups.values.toList()) {
            when (group.stage) {
                JOINING -> advanceJoining(group)
                OPENING -> advanceOpening(group)
                SERVING -> advanceServing(group)
                SUSPENDED -> advanceSuspended(group)
                RETIRING -> advanceRetiring(group)
                LOST -> advanceLost(group)
            }
        }
    }

    private fun advanceJoining(group: FormedGroup) {
        val missing = group.members.filter { step.isUnavailable(it) }
        val limit = group.since + expectedJoin(group) + view.settings.joinGracePeriod
        when {
            missing.isNotEmpty() -> step.move(group, LOST, "member" to missing.first())
            group.members.any { leaves(it) } -> step.move(group, LOST, "reason" to "member_leaves")
            step.unresponsiveMember(group) != null -> Unit
            group.members.all { view.table.phaseIn(group, it) == MemberPhase.READY } -> open(group)
            now > limit -> step.move(group, LOST, "reason" to "join_timeout")
            else -> group.members.filter { view.table.phaseIn(group, it) == null }.forEach { step.join(group, it) }
        }
    }

    private fun open(group: FormedGroup) {
        if (step.send(group.members.first(), FormationOrder.Open(group.id, group.epoch))) step.move(group, OPENING)
    }

    private fun advanceOpening(group: FormedGroup) {
        val head = view.table.phaseIn(group, group.members.first())
        val due = group.since + view.pool.openingTime + OPENING_GRACE
        when {
            step.goneMember(group) != null -> step.move(group, LOST, "reason" to "member_lost")
            step.unresponsiveMember(group) != null -> Unit
            head == MemberPhase.OPEN || hasBegunToOpen(group) -> step.move(group, SERVING)
            head == MemberPhase.BROKEN -> step.move(group, LOST, "reason" to "broken")
            head == MemberPhase.READY && now > due -> step.move(group, JOINING, "reason" to "open_not_done")
            else -> Unit
        }
    }

    /** Whether an accepted open order has taken effect: this takes a fixed time, and a report shows it only later. */
    private fun hasBegunToOpen(group: FormedGroup): Boolean {
        val head = group.members.first()
        val shown = view.table.engines[head]?.orders ?: return false
        val accepted = state.acceptedOrders[head] ?: return false
        return shown < accepted && now > group.since + view.pool.openingTime + ORDER_ROUND_TRIP
    }

    private fun advanceServing(group: FormedGroup) {
        val gone = step.goneMember(group)
        val broken = step.brokenMember(group)
        val unresponsive = step.unresponsiveMember(group)
        when {
            gone != null -> step.move(group, LOST, "member" to gone)
            view.table.phaseIn(group, group.members.first()) == MemberPhase.READY &&
                isStateKnown(group.members.first()) &&
                now - group.since > view.pool.openingTime + view.pool.reportLag + OPENING_GRACE ->
                step.move(group, JOINING, "reason" to "open_not_done")
            broken != null -> step.move(group, LOST, "broken" to broken)
            group.members.any { leaves(it) } -> step.move(group, RETIRING)
            unresponsive != null -> step.move(group, SUSPENDED, "member" to unresponsive)
            view.demand?.retire == group.id && canRetire(group) ->
                step.move(group.copy(isRetiredForDemand = true), RETIRING, "reason" to "demand")
            else -> Unit
        }
    }

    /** A suspended group serves again once each member has reported since then that it is still part of it. */
    private fun advanceSuspended(group: FormedGroup) {
        val gone = step.goneMember(group)
        val broken = step.brokenMember(group)
        val head = view.table.phaseIn(group, group.members.first())
        when {
            gone != null -> step.move(group, LOST, "member" to gone)
            broken != null -> step.move(group, LOST, "broken" to broken)
            group.members.any { leaves(it) } -> step.move(group, RETIRING)
            !group.members.all { hasReportedSince(group, it) } -> Unit
            head == MemberPhase.OPEN -> step.move(group, SERVING)
            head == MemberPhase.CLOSING -> step.move(group, RETIRING)
            else -> step.move(group, JOINING, "reason" to "head_not_open")
        }
    }

    private fun hasReportedSince(group: FormedGroup, id: BackendServer): Boolean = id !in state.unresponsiveSince &&
        id !in state.needsReport &&
        view.table.engines[id]?.reportedAt?.let { it >= group.since } == true

    /**
     * Whether a group may be closed for another model now; the plan may be half a second old. At most one group moves
     * at a time, the last two groups of a model never do, and none does during an evacuation.
     */
    private fun canRetire(group: FormedGroup): Boolean = view.table.evacuatedZones.isEmpty() &&
        state.groups.values.none { it.isRetiredForDemand } &&
        state.groups.values.count { it.model == group.model && it.stage == SERVING } > GROUPS_THAT_REMAIN

    private fun isStateKnown(id: BackendServer) = id !in state.needsReport && id !in state.calls

    /** Gateways send no new work to the group; its head is closed once requests in flight have arrived. */
    private fun advanceRetiring(group: FormedGroup) {
        val head = group.members.first()
        val phase = view.table.phaseIn(group, head)
        val gone = step.goneMember(group) != null
        val age = now - group.since
        when {
            gone || phase == MemberPhase.READY || phase == MemberPhase.BROKEN ->
                step.move(group, LOST, "reason" to "retired")
            phase == MemberPhase.OPEN && age > CLOSING_DELAY ->
                step.send(head, FormationOrder.Close(group.id, group.epoch, rejectsRunning(group, age)))
            else -> Unit
        }
    }

    /** A group whose engines have to leave rejects its requests in the end; one that moves finishes all of them. */
    private fun rejectsRunning(group: FormedGroup, age: Duration) = age > view.settings.retireTimeout &&
        (!group.isRetiredForDemand || group.members.any { leaves(it) })

    private fun advanceLost(group: FormedGroup) {
        val present = group.members.filter { !step.isUnavailable(it) && view.table.phaseIn(group, it) != null }
        if (present.isEmpty()) {
            step.remove(group)
            step.logDecision("group_dissolved", "group" to group.id)
        } else {
            present.forEach { step.send(it, FormationOrder.Leave(group.id, group.epoch)) }
        }
    }

    private fun leaves(id: BackendServer): Boolean = view.table.engines[id]?.let { !view.table.acceptsWork(it) } == true

    private fun expectedJoin(group: FormedGroup): Duration {
        val model = specs[group.model] ?: return Duration.ZERO
        val loads = group.members.any { it in state.loads }
        return if (loads) model.load else model.warm + view.pool.reportLag
    }

    private companion object {
        /** Number of groups that always remain to a model. */
        const val GROUPS_THAT_REMAIN = 2

        /** Time allowed beyond the expected opening time before a group is moved back to [JOINING]. */
        val OPENING_GRACE = 1000.milliseconds

        /** Upper bound of the time in which an order reaches the engine and is answered. */
        val ORDER_ROUND_TRIP = 20.milliseconds

        /** Time within which all gateways have received the update that a group accepts no new work. */
        val CLOSING_DELAY = 400.milliseconds
    }
}

/** A member that is absent, was silent for too long or reports that it is no longer in the group. */
private fun FormationStep.goneMember(group: FormedGroup): BackendServer? =
    group.members.firstOrNull { isUnavailable(it) || view.table.phaseIn(group, it) == null }

private fun FormationStep.brokenMember(group: FormedGroup): BackendServer? =
    group.members.firstOrNull { view.table.phaseIn(group, it) == MemberPhase.BROKEN }

private fun FormationStep.unresponsiveMember(group: FormedGroup): BackendServer? =
    group.members.firstOrNull { isUnresponsive(it) }
