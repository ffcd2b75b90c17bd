package redwingcross.version.fleet

import redwingcross.request.GroupId

/**
 * Takes a group move from one stage to the next or gives it up. It handles losses, evacuations and the end of the surge
 * during the move: until a group is closed, giving up costs callers nothing. Engines of a closed group form groups of
 * the other model in any case, because its weights are on their hosts.
 */
internal class GroupMoveProgress(private val step: DemandStep) {
    fun run() {
        val move = step.state.move ?: return
        val next = advance(move)
        val calmSince = if (next == null) step.now else step.state.calmSince
        step.state = step.state.copy(move = next, calmSince = calmSince)
    }

    private fun advance(move: GroupMove): GroupMove? {
        val reason = if (isCommitted(move)) null else reasonToCancel(move)
        return when {
            step.now >= move.deadline -> ended(move, "timeout")
            reason != null -> ended(move, "cancelled", reason)
            move.stage == MoveStage.STAGING -> staged(move)
            move.stage == MoveStage.RETIRING -> retired(move)
            step.serving(move.receiver) >= move.goal -> ended(move, "done")
            else -> move
        }
    }

    private fun reasonToCancel(move: GroupMove): String? {
        val surge = step.state.trends[move.receiver]?.surge
        // A group that is being closed no longer counts among the serving groups of its model.
        val remaining = move.donors.drop(if (isClosing(move)) move.retired + 1 else move.retired)
        val isDonorLost = move.stage == MoveStage.STAGING &&
            remaining.any { !isInService(it) }
        return step.obstacle() ?: when {
            surge == null && !move.isReturn -> "surge_ended"
            surge != null && move.isReturn -> "surge"
            isDonorLost || move.engines.any { it !in step.view.table.engines } -> "engines_gone"
            move.donor != null && step.spareGroups(move.donor) < remaining.size -> "donor_needed"
            else -> null
        }
    }

    private fun isClosing(move: GroupMove): Boolean = move.stage == MoveStage.RETIRING &&
        !isInService(move.donors[move.retired])

    private fun isInService(group: GroupId): Boolean = step.view.formation.groups[group]?.isInService == true

    /** Whether the last group that has to be closed is closing or closed, so that its engines are best used. */
    private fun isCommitted(move: GroupMove): Boolean =
        move.stage == MoveStage.FORMING || isClosing(move) && move.retired == move.donors.lastIndex

    private fun staged(move: GroupMove): GroupMove = when {
        step.withoutWeights(move).isNotEmpty() -> move
        move.donors.isEmpty() -> forming(move)
        else -> move.copy(stage = MoveStage.RETIRING)
    }

    private fun retired(move: GroupMove): GroupMove = when {
        move.donors[move.retired] in step.view.formation.groups -> move
        move.retired + 1 == move.donors.size -> forming(move)
        else -> move.copy(retired = move.retired + 1)
    }

    private fun forming(move: GroupMove): GroupMove {
        val donor = listOfNotNull(move.donor?.let { it to step.serving(it) })
        val moved = if (move.isReturn) emptyMap() else step.state.moved + donor + (move.receiver to move.goal)
        step.state = step.state.copy(moved = moved)
        return move.copy(stage = MoveStage.FORMING)
    }

    private fun ended(move: GroupMove, outcome: String, reason: String? = null): GroupMove? {
        val stage = move.stage.name.lowercase()
        step.log("group_move_ended", "outcome" to outcome, "to" to move.receiver, "stage" to stage, "reason" to reason)
        return null
    }
}
