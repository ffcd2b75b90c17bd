package redwingcross.standins.engine

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import redwingcross.connection.engine.EngineOrder
import redwingcross.connection.engine.EngineReport
import redwingcross.connection.engine.EngineResult
import redwingcross.connection.engine.OrderedMember
import redwingcross.connection.engine.ReadReport
import redwingcross.request.Vm
import kotlin.time.Duration

/** What a leader finds when it asks a member. */
internal sealed interface MemberAnswer {
    data class Here(val report: EngineReport) : MemberAnswer

    /** No answer; the member may be paused. */
    data object Silent : MemberAnswer

    /** The member can't be running. */
    data object Gone : MemberAnswer
}

/** An answer with the time at which the leader asked for it. */
internal data class KnownAnswer(val answer: MemberAnswer, val at: Duration)

/** Asks the members of a group for their reports on behalf of the leader, and uses each answer for a short time. */
internal class MemberCheck(private val self: Vm, private val readReport: ReadReport, private val task: EngineTask) {
    /** Why the group of [order] can't serve, or null if all members report that group and generation and are ready. */
    suspend fun problem(order: EngineOrder): String? = answers(order.members).firstNotNullOfOrNull { (member, answer) ->
        val report = (answer as? MemberAnswer.Here)?.report
        when {
            report == null -> "member ${member.vm} does not answer"
            report.vm != member.vm -> "member ${member.vm} was answered by ${report.vm}"
            report.group != order.group || report.generation != order.generation ->
                "member ${member.vm} reports ${report.group} generation ${report.generation}"
            report.rank != order.members.indexOf(member) -> "member ${member.vm} reports rank ${report.rank}"
            !report.ready -> "member ${member.vm} is not ready"
            else -> null
        }
    }

    /** The answers of all members other than the leader itself. */
    suspend fun answers(members: List<OrderedMember>): List<Pair<OrderedMember, MemberAnswer>> {
        val (known, requestedAt) =
            task.read { state, now ->
                state.members.filterValues { now - it.at < state.settings.memberReportLifetime } to now
            }
        val others = members.filter { it.vm != self }
        val asked = ask(others.filter { it.address !in known }).mapValues { KnownAnswer(it.value, requestedAt) }
        if (asked.isNotEmpty()) task.change { state, _ -> state.copy(members = state.members + asked) }
        return others.map { it to (known + asked).getValue(it.address).answer }
    }

    private suspend fun ask(members: List<OrderedMember>): Map<String, MemberAnswer> = coroutineScope {
        members.map { async { it.address to answerOf(it) } }.awaitAll().toMap()
    }

    private suspend fun answerOf(member: OrderedMember): MemberAnswer = when (val result = readReport(member.address)) {
        is EngineResult.Answered -> MemberAnswer.Here(result.value)
        is EngineResult.NoAnswer -> MemberAnswer.Silent
        is EngineResult.NotSent -> MemberAnswer.Gone
    }
}
