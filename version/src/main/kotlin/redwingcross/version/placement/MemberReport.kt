package redwingcross.version.placement

import redwingcross.request.GroupId
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import redwingcross.version.bundle.Endpoint
import kotlin.time.Duration

/** Generation in orders to a VM that loads weights but is not yet a member; real generations start at 1. */
val PREPARING = Generation(0)

/** Weights that one member of a group holds: those of one rank of one version of a model. */
data class Shard(val model: ServiceName, val modelVersion: String, val rank: Int)

/** The place that an engine has, or is ordered to take, in a group. */
data class Assignment(val group: GroupId, val generation: Generation, val shard: Shard)

/** What a member's engine last said about itself. */
data class MemberReport(
    val bootId: BootId,
    /** Null for an engine that has carried out no order since its start. */
    val assignment: Assignment?,
    /** Whether the weights of the assignment are loaded. */
    val ready: Boolean,
    /** Time since it became ready, if the engine reports it. */
    val readyFor: Duration? = null,
    val running: Int = 0,
)

/** An order for one engine; [members] is empty for a VM that only prepares. */
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

/** The assignment of each VM that prepares to replace a member. */
fun ServingGroup.preparations(): Map<Vm, Assignment> = preparing.entries
    .filter { it.key in members }
    .associate { (member, spare) -> spare to Assignment(group, PREPARING, shard(members.indexOf(member))) }

/** Every VM that the group uses, including those that prepare. */
fun ServingGroup.vms(): List<Vm> = members + preparing.values

private fun ServingGroup.shard(rank: Int) = Shard(model, modelVersion, rank)
