package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An order to an engine. Every order names the count of orders that the engine must have accepted before it. */
sealed interface FormationOrder {
    data class Join(
        val group: GroupId,
        val epoch: GroupEpoch,
        val model: ModelName,
        /** The head is the first. */
        val members: List<BackendServer>,
    ) : FormationOrder

    data class Open(val group: GroupId, val epoch: GroupEpoch) : FormationOrder

    /** Ends a group's service; [rejectRunning] breaks off what runs, otherwise it is finished first. */
    data class Close(val group: GroupId, val epoch: GroupEpoch, val rejectRunning: Boolean) : FormationOrder

    data class Leave(val group: GroupId, val epoch: GroupEpoch) : FormationOrder

    /** Loads the weights of a model onto the host beside all other work. */
    data class Stage(val model: ModelName) : FormationOrder
}

/** What became of an order. */
enum class OrderOutcome {
    /** The engine has begun to carry it out, and counts it. */
    BEGUN,

    /** The state holds already, or the order is done. */
    DONE,

    /** The engine did not carry it out. */
    REJECTED,

    /** No answer: the order may be carried out at any later time. */
    UNKNOWN,
}

/** What the owner of the formation carries out. */
sealed interface FormationEffect {
    data class Send(
        val engine: BackendServer,
        val address: Endpoint,
        val order: FormationOrder,
        val expectedOrders: OrderCount,
    ) : FormationEffect

    /** Asks an engine for its report. */
    data class Ask(val engine: BackendServer, val address: Endpoint) : FormationEffect

    /** A decision worth a log line. */
    data class Note(val event: String, val pairs: List<Pair<String, Any?>>) : FormationEffect
}

/** Where a group that the formation knows stands. */
enum class GroupStage { JOINING, OPENING, SERVING, RETIRING, LOST }

/** A group that this process formed or took over. */
data class FormedGroup(
    val id: GroupId,
    val epoch: GroupEpoch,
    val model: ModelName,
    val members: List<BackendServer>,
    val stage: GroupStage,
    /** When [stage] was entered. */
    val since: Duration,
)

/** An order or question that has not been answered. */
data class PendingCall(val order: FormationOrder?, val sentAt: Duration, val expected: OrderCount? = null)

/** A load of weights that an engine has begun. */
data class WeightLoad(val model: ModelName, val startedAt: Duration, val dueAt: Duration)

/** Times and proportions of the formation. */
data class FormationSettings(
    /** Part of the engines that is kept out of groups to replace lost members. */
    val spareShare: Double = 0.17,
    /** Pause between two questions to an engine whose state is due; a report costs little beside a late group. */
    val askInterval: Duration = 120.milliseconds,
    /** The same while nothing is served yet. */
    val idleAskInterval: Duration = 250.milliseconds,
    /** Time after which an engine that never answered is taken for lost. */
    val silenceLimit: Duration = 600.milliseconds,
    /** Time for which a lost engine is left alone unless it is heard. */
    val lostRetry: Duration = 1.seconds,
    /** Longest time that a group may take to become ready beyond the expected load. */
    val joinPatience: Duration = 4.seconds,
    /** Longest time that work of a group that is taken apart may go on. */
    val retirePatience: Duration = 3.seconds,
)

/** State of the formation of one service's groups. */
data class FormationState(
    /** The lease under which groups are formed. */
    val lease: LeaseEpoch,
    val groups: Map<GroupId, FormedGroup> = emptyMap(),
    val calls: Map<BackendServer, PendingCall> = emptyMap(),
    val requestedAt: Map<BackendServer, Duration> = emptyMap(),
    /** Earliest time at which a report can show the effect of the last order. */
    val askAfter: Map<BackendServer, Duration> = emptyMap(),
    /** The start of each engine that the rest of the state is about. */
    val starts: Map<BackendServer, EngineStart?> = emptyMap(),
    /** Orders that an engine has accepted, as far as answers to orders tell; reports may lag behind it. */
    val acceptedOrders: Map<BackendServer, OrderCount> = emptyMap(),
    /** Model of the last group that an engine joined; it is joined again at once. */
    val lastModel: Map<BackendServer, ModelName> = emptyMap(),
    /** When an engine failed to answer for the first time since it last did. */
    val silentSince: Map<BackendServer, Duration> = emptyMap(),
    /** Engines that don't answer, with the time of the last try. */
    val lost: Map<BackendServer, Duration> = emptyMap(),
    /** Engines of groups that make no progress, with the time of the finding; one unanswered question loses them. */
    val suspected: Map<BackendServer, Duration> = emptyMap(),
    /** Engines whose state must be read before the next order, because an order's outcome is unknown. */
    val unsettled: Set<BackendServer> = emptySet(),
    val loads: Map<BackendServer, WeightLoad> = emptyMap(),
    /** Times at which loads were started, for the rate of the weight store. */
    val loadStarts: List<Duration> = emptyList(),
    /** Highest epoch in use; groups of later leases get higher ones. */
    val epoch: GroupEpoch = GroupEpoch(0),
)

/** How far [id] is as a member of [group]; null if it is in no group or in another one. */
internal fun EngineTable.phaseIn(group: FormedGroup, id: BackendServer): MemberPhase? = engines[id]?.status?.membership
    ?.takeIf { it.group == group.id && it.epoch == group.epoch }
    ?.phase

/** Whether a report with [reported] orders was made before the last order that the engine accepted. */
internal fun FormationState.isBehind(id: BackendServer, reported: OrderCount): Boolean =
    acceptedOrders[id]?.let { reported < it } == true
