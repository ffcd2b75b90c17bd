package redwingcross.version.placement

import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** Generation in orders to a spare that loads weights but is not yet a member; generations of groups start at 1. */
val PREPARING_GENERATION = Generation(0)

/** The weights of one group member: those of one rank of one version of a model. */
data class Shard(val model: ServiceName, val modelVersion: String, val rank: Int)

/** The position in a group that an engine has or is ordered to take. */
data class Assignment(val group: GroupId, val generation: Generation, val shard: Shard)

/** An engine's report of its own state. */
data class MemberReport(
    val bootId: BootId,
    /** Null if the engine has carried out no order since its start. */
    val assignment: Assignment?,
    /** Whether the weights of the assignment are loaded. */
    val ready: Boolean,
    /** Time since it became ready; null if the engine does not report it. */
    val readyFor: Duration? = null,
    /** Number of requests in progress. */
    val running: Int = 0,
)

/** An order for one engine; [members] is empty for a spare that only loads weights. */
data class MemberOrder(
    val vm: Vm,
    val endpoint: Endpoint,
    val epoch: LeaseEpoch,
    val assignment: Assignment,
    val members: List<Pair<Vm, Endpoint>>,
)

/** The assignment of each member of the group. */
fun ServingGroup.assignments(): Map<Vm, Assignment> =
    members.withIndex().associate { (rank, vm) -> vm to Assignment(group, generation, shard(rank)) }

/** The assignment of each spare that is being prepared to replace a member. */
fun ServingGroup.preparations(): Map<Vm, Assignment> = preparing.entries
    .filter { it.key in members }
    .associate { (member, spare) -> spare to Assignment(group, PREPARING_GENERATION, shard(members.indexOf(member))) }

/** Every VM that the group uses, including the spares being prepared. */
fun ServingGroup.vms(): List<Vm> = members + preparing.values

private fun ServingGroup.shard(rank: Int) = Shard(model, modelVersion, rank)
