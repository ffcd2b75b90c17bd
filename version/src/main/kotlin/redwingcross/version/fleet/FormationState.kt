package redwingcross.version.fleet

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import redwingcross.version.bundle.Endpoint
import redwingcross.version.placement.LeaseEpoch
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An order to an engine. Each is sent with the number of orders that the engine must have accepted before it. */
sealed interface FormationOrder {
    /** Makes the engine a member of a group and loads the model's weights. */
    data class Join(
        val group: GroupId,
        val epoch: GroupEpoch,
        val model: ModelName,
        /** Members by rank; the first is the head. */
        val members: List<BackendServer>,
    ) : FormationOrder

    /** Makes the head of a group accept requests. */
    data class Open(val group: GroupId, val epoch: GroupEpoch) : FormationOrder

    /** Ends a group's service; [rejectRunning] aborts requests in flight, otherwise they are finished first. */
    data class Close(val group: GroupId, val epoch: GroupEpoch, val rejectRunning: Boolean) : FormationOrder

    /** Ends the engine's membership in a group. */
    data class Leave(val group: GroupId, val epoch: GroupEpoch) : FormationOrder

    /** Loads the weights of a model onto the host while the engine continues its other work. */
    data class Stage(val model: ModelName) : FormationOrder
}

/** Outcome of an order. */
enum class OrderOutcome {
    /** The engine accepted the order, counts it and has begun to carry it out. */
    BEGUN,

    /** The order is completed, or the ordered state was already reached. */
    DONE,

    /** The engine rejected the order. */
    REJECTED,

    /** No response was received; the engine may carry out the order at any later time. */
    UNKNOWN,
}

/** Numbers the calls of a controller to engines, so that a response ends the call that it belongs to and no other. */
@JvmInline
value class CallNumber(val value: Long)

/** An action that the task running [FormationDecision] carries out. */
sealed interface FormationEffect {
    /** Sends an order; the engine rejects it unless it has accepted exactly [expectedOrders] orders. */
    data class Send(
        val call: CallNumber,
        val engine: BackendServer,
        val address: Endpoint,
        val order: FormationOrder,
        val expectedOrders: OrderCount,
    ) : FormationEffect

    /** Requests an engine's report. */
    data class RequestReport(val call: CallNumber, val engine: BackendServer, val address: Endpoint) : FormationEffect

    /** Logs a decision. */
    data class LogDecision(val event: String, val pairs: List<Pair<String, Any?>>) : FormationEffect
}

/** Lifecycle stage of a group that this process manages. */
enum class GroupStage {
    JOINING,
    OPENING,
    SERVING,

    /** A member does not respond: the group gets no new requests, its streams stay, and it may serve again. */
    SUSPENDED,
    RETIRING,
    LOST,
}

/** A group that this process formed or adopted. */
data class FormedGroup(
    val id: GroupId,
    val epoch: GroupEpoch,
    val model: ModelName,
    val members: List<BackendServer>,
    val stage: GroupStage,
    /** Time at which [stage] was entered. */
    val since: Duration,
    /** Whether the group is closed to give its engines to another model; its requests in flight are never rejected. */
    val isRetiredForDemand: Boolean = false,
) {
    /** Whether the group serves, or will again as soon as its silent members respond. */
    val isInService: Boolean get() = stage == GroupStage.SERVING || stage == GroupStage.SUSPENDED

    /** Whether requests may be running in the group. */
    val runsRequests: Boolean get() = isInService || stage == GroupStage.RETIRING
}

/** An unanswered order, or an unanswered report request if [order] is null. */
data class PendingCall(
    val number: CallNumber,
    val order: FormationOrder?,
    val sentAt: Duration,
    val expected: OrderCount? = null,
)

/** How a report request ended. */
data class ReportAnswer(
    val call: CallNumber,
    val engine: BackendServer,
    /** Null if the engine did not answer. */
    val report: EngineReport?,
    /** Whether the engine is certainly not at its address: nothing listens there, or another engine answers. */
    val isAbsent: Boolean,
)

/** A load of weights that was ordered, with the time at which it should be complete. */
data class WeightLoad(val model: ModelName, val startedAt: Duration, val dueAt: Duration)

/** Timeouts, intervals and proportions of group formation. */
data class FormationSettings(
    /** Fraction of the engines that is kept out of groups to replace lost members. */
    val spareFraction: Double = 0.17,
    /** Minimum interval of report requests to one engine; a report costs little compared with a late group. */
    val reportInterval: Duration = 120.milliseconds,
    /** The same interval before the first request of a caller. */
    val idleReportInterval: Duration = 250.milliseconds,
    /** Time without a response after which an engine counts as unresponsive and its group gets no new requests. */
    val unresponsiveTimeout: Duration = 600.milliseconds,
    /**
     * Length of a silence after which an engine counts as lost. A sound engine may fall silent for a second or so and
     * then go on; a group that is given up earlier breaks off answers that would have been completed.
     */
    val silenceTolerance: Duration = 1.8.seconds,
    /** Interval of report requests to a lost engine; it stops counting as lost when it is observed again. */
    val lostRetryInterval: Duration = 1.seconds,
    /** Time that a group may take to become ready beyond the expected load time. */
    val joinGracePeriod: Duration = 4.seconds,
    /** Time after which requests in flight of a retiring group are rejected. */
    val retireTimeout: Duration = 3.seconds,
)

/**
 * State of group formation for one service. Its collections are persistent, so that the cost of one change does not
 * grow with the number of engines.
 */
data class FormationState(
    /** The lease under which groups are formed. */
    val lease: LeaseEpoch,
    val groups: PersistentMap<GroupId, FormedGroup> = persistentHashMapOf(),
    /** The unanswered call to each engine; at most one at a time. */
    val calls: PersistentMap<BackendServer, PendingCall> = persistentHashMapOf(),
    /** When the report of each engine was last requested. */
    val reportRequestedAt: PersistentMap<BackendServer, Duration> = persistentHashMapOf(),
    /** Earliest time at which a report can show the effect of the last order. */
    val earliestReportAt: PersistentMap<BackendServer, Duration> = persistentHashMapOf(),
    /** Start of each engine to which its other state applies; that state is discarded when the engine restarts. */
    val starts: PersistentMap<BackendServer, EngineStart?> = persistentHashMapOf(),
    /** Number of orders that each engine has accepted according to its order responses; reports may lag behind it. */
    val acceptedOrders: PersistentMap<BackendServer, OrderCount> = persistentHashMapOf(),
    /** Model of the last group that each engine joined; joining a group of the same model again is fast. */
    val lastModel: PersistentMap<BackendServer, ModelName> = persistentHashMapOf(),
    /** Time of the first failed report request since the engine last responded. */
    val unresponsiveSince: Map<BackendServer, Duration> = emptyMap(),
    /** Engines that do not respond but may only be silent for a moment; they are given no orders. */
    val unresponsive: Set<BackendServer> = emptySet(),
    /** Engines that are absent or were silent for too long, with the time of the last failed request. */
    val lost: Map<BackendServer, Duration> = emptyMap(),
    /** Members of groups without progress, with the time of the suspicion; one failed request shows their silence. */
    val suspected: Map<BackendServer, Duration> = emptyMap(),
    /** Engines whose report is needed before the next order, for example because an order's outcome is unknown. */
    val needsReport: PersistentSet<BackendServer> = persistentHashSetOf(),
    val loads: PersistentMap<BackendServer, WeightLoad> = persistentHashMapOf(),
    /** Start times of recent loads, for the rate limit of the weight store. */
    val loadStarts: List<Duration> = emptyList(),
    val lastCall: CallNumber = CallNumber(0),
    /** Highest epoch in use; later groups, including those of later leases, get higher ones. */
    val epoch: GroupEpoch = GroupEpoch(0),
)

/** Phase of [id] as a member of [group]; null if it is in no group or in another one. */
internal fun EngineTable.phaseIn(group: FormedGroup, id: BackendServer): MemberPhase? = engines[id]?.status?.membership
    ?.takeIf { it.group == group.id && it.epoch == group.epoch }
    ?.phase

/** Whether a report that counts [reported] orders was made before the last order that the engine accepted. */
internal fun FormationState.isStale(id: BackendServer, reported: OrderCount): Boolean =
    acceptedOrders[id]?.let { reported < it } == true
