package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.version.fleet.GroupStage.JOINING
import redwingcross.version.fleet.GroupStage.LOST
import redwingcross.version.fleet.GroupStage.OPENING
import redwingcross.version.fleet.GroupStage.RETIRING
import redwingcross.version.fleet.GroupStage.SERVING
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Moves each group from one stage to the next by what its members report. */
internal class FormationGroups(private val work: FormationWork) {
    private val view = work.view
    private val now = work.now
    private val state get() = work.state
    private val terms = view.pool.models.associateBy { it.name }
    private val reported = view.table.reportedGroups(view.service.name)

    /** Takes over complete groups that an earlier controller formed. */
    fun adoptGroups() {
        for (group in reported.filter { it.id !in state.groups }) {
            work.raiseEpoch(group.epoch)
            val model = GroupNames.model(group.id)?.let(terms::get)
            val isWhole =
                model != null && group.isComplete(model.groupSize) && group.members.none { work.isGone(it.id) }
            if (isWhole) adopt(group, model)
        }
    }

    private fun adopt(group: ReportedGroup, model: ModelTerms) {
        val stage = when (group.head?.status?.membership?.phase) {
            MemberPhase.OPEN -> SERVING
            MemberPhase.CLOSING -> RETIRING
            MemberPhase.BROKEN -> LOST
            else -> JOINING
        }
        work.put(FormedGroup(group.id, group.epoch, model.name, group.members.map { it.id }, stage, now))
        work.note("group_adopted", "group" to group.id, "stage" to stage)
    }

    fun advanceGroups() {
        for (group in state.groups.values.toList()) {
            when (group.stage) {
                JOINING -> advanceJoining(group)
                OPENING -> advanceOpening(group)
                SERVING -> advanceServing(group)
                RETIRING -> advanceRetiring(group)
                LOST -> advanceLost(group)
            }
        }
    }

    private fun advanceJoining(group: FormedGroup) {
        val missing = group.members.filter { work.isGone(it) }
        val limit = group.since + expectedJoin(group) + view.settings.joinPatience
        when {
            missing.isNotEmpty() -> work.move(group, LOST, "member" to missing.first())
            group.members.any { leaves(it) } -> work.move(group, LOST, "reason" to "member_leaves")
            group.members.all { view.table.phaseIn(group, it) == MemberPhase.READY } -> open(group)
            now > limit -> work.move(group, LOST, "reason" to "join_timeout")
            else -> group.members.filter { view.table.phaseIn(group, it) == null }.forEach { work.join(group, it) }
        }
    }

    private fun open(group: FormedGroup) {
        if (work.send(group.members.first(), FormationOrder.Open(group.id, group.epoch))) work.move(group, OPENING)
    }

    private fun advanceOpening(group: FormedGroup) {
        val head = view.table.phaseIn(group, group.members.first())
        val due = group.since + view.pool.opening + OPENING_GRACE
        when {
            group.members.any { work.isGone(it) || view.table.phaseIn(group, it) == null } ->
                work.move(group, LOST, "reason" to "member_lost")
            head == MemberPhase.OPEN || hasBegunToOpen(group) -> work.move(group, SERVING)
            head == MemberPhase.BROKEN -> work.move(group, LOST, "reason" to "broken")
            head == MemberPhase.READY && now > due -> work.move(group, JOINING, "reason" to "open_not_done")
            else -> Unit
        }
    }

    /** An accepted order to open takes effect after a fixed time; the report that shows it comes later. */
    private fun hasBegunToOpen(group: FormedGroup): Boolean {
        val head = group.members.first()
        val shown = view.table.engines[head]?.orders ?: return false
        val accepted = state.acceptedOrders[head] ?: return false
        return shown < accepted && now > group.since + view.pool.opening + ORDER_TRAVEL
    }

    private fun advanceServing(group: FormedGroup) {
        val gone = group.members.firstOrNull { work.isGone(it) || view.table.phaseIn(group, it) == null }
        val broken = group.members.firstOrNull { view.table.phaseIn(group, it) == MemberPhase.BROKEN }
        when {
            gone != null -> work.move(group, LOST, "member" to gone)
            view.table.phaseIn(group, group.members.first()) == MemberPhase.READY &&
                isSettled(group.members.first()) &&
                now - group.since > view.pool.opening + view.pool.reportLag + OPENING_GRACE ->
                work.move(group, JOINING, "reason" to "open_not_done")
            broken != null -> work.move(group, LOST, "broken" to broken)
            group.members.any { leaves(it) } -> work.move(group, RETIRING)
            else -> Unit
        }
    }

    private fun isSettled(id: BackendServer) = id !in state.unsettled && id !in state.calls

    /** New work has stopped; the head is closed once requests that were on their way have arrived. */
    private fun advanceRetiring(group: FormedGroup) {
        val head = group.members.first()
        val phase = view.table.phaseIn(group, head)
        val gone = group.members.any { work.isGone(it) || view.table.phaseIn(group, it) == null }
        val age = now - group.since
        when {
            gone || phase == MemberPhase.READY || phase == MemberPhase.BROKEN ->
                work.move(group, LOST, "reason" to "retired")
            phase == MemberPhase.OPEN && age > CLOSING_DELAY ->
                work.send(head, FormationOrder.Close(group.id, group.epoch, age > view.settings.retirePatience))
            else -> Unit
        }
    }

    private fun advanceLost(group: FormedGroup) {
        val present = group.members.filter { !work.isGone(it) && view.table.phaseIn(group, it) != null }
        if (present.isEmpty()) {
            work.forget(group)
            work.note("group_dissolved", "group" to group.id)
        } else {
            present.forEach { work.send(it, FormationOrder.Leave(group.id, group.epoch)) }
        }
    }

    /** Engines in a group that nobody manages leave it, so that they can join another. */
    fun releaseStrays() {
        val present = view.table.engines.values.filter {
            it.status.service == view.service.name && !it.status.draining && !work.isGone(it.id)
        }
        for (engine in present) {
            val membership = engine.status.membership?.takeIf { it.group !in state.groups } ?: continue
            work.send(engine.id, FormationOrder.Leave(membership.group, membership.epoch))
        }
    }

    private fun leaves(id: BackendServer): Boolean = view.table.engines[id]?.let { !view.table.takesWork(it) } == true

    private fun expectedJoin(group: FormedGroup): Duration {
        val model = terms[group.model] ?: return Duration.ZERO
        val loads = group.members.any { it in state.loads }
        return if (loads) model.load else model.warm + view.pool.reportLag
    }

    private companion object {
        val OPENING_GRACE = 1000.milliseconds

        /** An order may take this long to reach the engine and be answered. */
        val ORDER_TRAVEL = 20.milliseconds

        /** Gateways learn within this time that a group takes no new work. */
        val CLOSING_DELAY = 400.milliseconds
    }
}
