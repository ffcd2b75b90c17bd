package redwingcross.version.fleet

import kotlin.time.Duration

/**
 * Starts a group move if one pays. It handles a model that lacks slots for longer than a few seconds while another has
 * groups that it does not need.
 */
internal class GroupMoveChoice(private val step: DemandStep) {
    private val state get() = step.state

    fun run() {
        if (state.move != null) return
        val surging = step.pool.models.filter { state.trends[it.name]?.surge != null }
        when {
            surging.isNotEmpty() -> surging.forEach { if (state.move == null) consider(it) }
            state.moved.isNotEmpty() && step.now - state.calmSince >= step.settings.calmBeforeReturn -> startReturn()
        }
    }

    private fun consider(receiver: ModelSpec) {
        val trend = state.trends.getValue(receiver.name)
        val surge = trend.surge ?: return
        val elapsed = step.now - surge.since
        if (elapsed < step.settings.shortageBeforeMove) return
        val lacking = trend.slots / step.settings.shortUtilisation - step.openSlots(receiver.name)
        val remaining = trend.expectedRemaining(elapsed)
        // No move can pay in less time than its engines need with the weights on their hosts.
        if (remaining <= receiver.warm + step.pool.openingTime && surge.isDeclineLogged) return
        val compared = candidates(receiver).map { it to MoveArithmetic.gain(it.cost, lacking, remaining) }
        val best = compared.filter { (_, gain) -> gain.pays }.minWithOrNull(SPARES_FIRST)
        val obstacle = step.obstacle() ?: "groups_changing".takeIf { step.isChanging() }
        when {
            best != null && obstacle == null -> begin(best.first, best.second, remaining, isReturn = false)
            !surge.isDeclineLogged -> {
                val closest = compared.map { it.second }.maxByOrNull { it.gained - it.lost }
                decline(receiver, closest, remaining, obstacle ?: if (closest == null) "no_engines" else "no_gain")
                val logged = trend.copy(surge = surge.copy(isDeclineLogged = true))
                step.state = state.copy(trends = state.trends + (receiver.name to logged))
            }
        }
    }

    private fun candidates(receiver: ModelSpec): List<MoveCandidate> =
        MoveCandidates(step.view, step.settings, receiver, step::spareGroups, step.mayReleaseReserve()).find()

    private fun decline(receiver: ModelSpec, closest: MoveGain?, remaining: Duration, reason: String) = step.log(
        "group_move_declined",
        "to" to receiver.name,
        "reason" to reason,
        "prepare" to closest?.cost?.preparation,
        "change" to closest?.cost?.change,
        "expected" to remaining,
        "gained" to closest?.gained?.toInt(),
        "lost" to closest?.lost?.toInt(),
    )

    /** Moves groups back to the configured shares after a long calm, when no model needs the slots. */
    private fun startReturn() {
        if (step.obstacle() != null || step.isChanging()) return
        val view = step.view
        val counts = ConfiguredGroups.of(view.service, step.pool, view.table, view.formation, view.settings)
        val receiver = step.pool.models.firstOrNull { step.serving(it.name) < (counts[it] ?: 0) }
        if (receiver == null) {
            step.state = state.copy(moved = emptyMap())
            return
        }
        val candidate = candidates(receiver)
            .filter { it.donor == null || step.serving(it.donor.name) > (counts[it.donor] ?: 0) }
            .minByOrNull { it.cost.closedSlots } ?: return
        begin(candidate, MoveGain(candidate.cost, 0.0, 0.0), Duration.ZERO, isReturn = true)
    }

    private fun begin(candidate: MoveCandidate, gain: MoveGain, remaining: Duration, isReturn: Boolean) {
        step.log(
            "group_move_started",
            "to" to candidate.receiver.name,
            "from" to candidate.donor?.name,
            "groups" to candidate.donors.joinToString(",").ifEmpty { "spares" },
            "prepare" to gain.cost.preparation,
            "change" to gain.cost.change,
            "expected" to remaining,
            "gained" to gain.gained.toInt(),
            "lost" to gain.lost.toInt(),
        )
        val move = GroupMove(
            receiver = candidate.receiver.name,
            donor = candidate.donor?.name,
            donors = candidate.donors,
            engines = candidate.engines,
            goal = step.serving(candidate.receiver.name) + candidate.formed,
            deadline = step.now + (gain.cost.preparation + gain.cost.change) * 2,
            isReturn = isReturn,
        )
        step.state = state.copy(move = move)
    }

    private companion object {
        /** Spares move before groups; among equal ones the move that yields most. */
        val SPARES_FIRST = compareBy<Pair<MoveCandidate, MoveGain>> { (candidate, _) -> candidate.donors.isNotEmpty() }
            .thenByDescending { (_, gain) -> gain.gained - gain.lost }
    }
}
