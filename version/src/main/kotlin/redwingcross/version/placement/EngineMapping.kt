package redwingcross.version.placement

import redwingcross.connection.engine.EngineOrder
import redwingcross.connection.engine.EngineReport
import redwingcross.connection.engine.EngineResult
import redwingcross.connection.engine.OrderAnswer
import redwingcross.connection.engine.OrderedMember
import kotlin.time.Duration.Companion.milliseconds

/** Converts a report from the types of the engine protocol. */
internal fun EngineReport.toMemberReport(): MemberReport = MemberReport(
    bootId = BootId(bootId),
    assignment = toAssignment(),
    ready = ready,
    readyFor = readyMillis?.milliseconds,
    running = running,
)

private fun EngineReport.toAssignment(): Assignment? {
    val shard = Shard(model ?: return null, modelVersion ?: return null, rank ?: return null)
    return Assignment(group ?: return null, Generation(generation ?: return null), shard)
}

/** Converts an order to the types of the engine protocol. */
internal fun MemberOrder.toEngineOrder(): EngineOrder = EngineOrder(
    fencing = epoch.value,
    group = assignment.group,
    generation = assignment.generation.value,
    rank = assignment.shard.rank,
    members = members.map { (vm, endpoint) -> OrderedMember(vm, endpoint.value) },
    model = assignment.shard.model,
    modelVersion = assignment.shard.modelVersion,
)

/** Converts an engine's answer to the outcome that the placement decision distinguishes. */
internal fun EngineResult<OrderAnswer>.toOrderResult(): OrderResult = when (this) {
    is EngineResult.NotSent -> OrderResult.Failed(detail)
    is EngineResult.NoAnswer -> OrderResult.Failed(detail)
    is EngineResult.Answered ->
        when (val answer = value) {
            OrderAnswer.Accepted -> OrderResult.Accepted
            is OrderAnswer.Fenced -> OrderResult.Fenced(LeaseEpoch(answer.highest))
            is OrderAnswer.Refused -> OrderResult.Failed("status ${answer.status}")
        }
}
