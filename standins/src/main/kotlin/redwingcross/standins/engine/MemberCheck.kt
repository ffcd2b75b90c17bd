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

/** Result of a report query by the leader to a member. */
internal sealed interface MemberStatus {
    data class Reported(val report: EngineReport) : MemberStatus

    /** The member sent no response; it may be paused. */
    data object NoResponse : MemberStatus

    /** The query could not be sent, so the member can't be running. */
    data object NotRunning : MemberStatus
}

/** A status with the time at which the leader sent the query. */
internal data class CachedMemberStatus(val status: MemberStatus, val requestedAt: Duration)

/**
 * Queries the reports of the members of a group for its leader, and caches each result for
 * [EngineSettings.memberReportLifetime].
 */
internal class MemberCheck(private val self: Vm, private val readReport: ReadReport, private val task: EngineTask) {
    /** Why the group of [order] can't serve; null if all members report that group and generation and are ready. */
    suspend fun problem(order: EngineOrder): String? = query(order.members).firstNotNullOfOrNull { (member, status) ->
        val report = (status as? MemberStatus.Reported)?.report
        when {
            report == null -> "member ${member.vm} sent no report"
            report.vm != member.vm -> "member ${member.vm} responded as ${report.vm}"
            report.group != order.group || report.generation != order.generation ->
                "member ${member.vm} reports ${report.group} generation ${report.generation}"
            report.rank != order.members.indexOf(member) -> "member ${member.vm} reports rank ${report.rank}"
            !report.ready -> "member ${member.vm} is not ready"
            else -> null
        }
    }

    /** Status of each of [members] except the leader itself. */
    suspend fun query(members: List<OrderedMember>): List<Pair<OrderedMember, MemberStatus>> {
        val (cached, requestedAt) =
            task.read { state, now ->
                state.members.filterValues { now - it.requestedAt < state.settings.memberReportLifetime } to now
            }
        val others = members.filter { it.vm != self }
        val queried = queryAll(others.filter { it.address !in cached })
            .mapValues { CachedMemberStatus(it.value, requestedAt) }
        if (queried.isNotEmpty()) task.change { state, _ -> state.copy(members = state.members + queried) }
        return others.map { it to (cached + queried).getValue(it.address).status }
    }

    private suspend fun queryAll(members: List<OrderedMember>): Map<String, MemberStatus> = coroutineScope {
        members.map { async { it.address to queryOne(it) } }.awaitAll().toMap()
    }

    private suspend fun queryOne(member: OrderedMember): MemberStatus = when (val result = readReport(member.address)) {
        is EngineResult.Answered -> MemberStatus.Reported(result.value)
        is EngineResult.NoAnswer -> MemberStatus.NoResponse
        is EngineResult.NotSent -> MemberStatus.NotRunning
    }
}
