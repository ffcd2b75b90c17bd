package redwingcross.version.fleet

import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.ModelName
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Limits of [DemandFormation]. Utilisations are fractions of the slots of a model's serving groups. */
data class DemandSettings(
    /** Time constant of the smoothed demand. It hides the noise of single heartbeats, which come every 250 ms. */
    val smoothing: Duration = 2.seconds,
    /** A model lacks slots above this utilisation: placement with old load information reaches about 0.9. */
    val shortUtilisation: Double = 0.9,
    /** A surge ends below this part of the slots at its start; the distance to [shortUtilisation] is the hysteresis. */
    val calmUtilisation: Double = 0.75,
    /** The groups that remain to a model from which groups are taken are used at most this much. */
    val donorUtilisation: Double = 0.7,
    /** Time for which a model must have lacked slots before a group moves. */
    val shortageBeforeMove: Duration = 2.seconds,
    /** Time for which demand is not acted on after the start of a decision or a pause of the process. */
    val settling: Duration = 2.seconds,
    /** A longer time between two decisions means that the process was paused and its figures are old. */
    val longestGap: Duration = 2.seconds,
    /** Without demand data for this long the configured shares apply. */
    val dataLifetime: Duration = 5.seconds,
    /** Time without any surge after which groups move back to the configured shares: two periods of 15 s. */
    val calmBeforeReturn: Duration = 30.seconds,
    /** Time in which a group stops getting requests and its requests in flight end: 30 events of 60 ms take 1.8 s. */
    val drain: Duration = 2400.milliseconds,
    /** Time in which the members of a closed group leave it and their reports show it. */
    val leave: Duration = 200.milliseconds,
    /** Time for which a request holds a slot, for the slots that refused requests lack. */
    val slotTime: Duration = 1500.milliseconds,
    /** Number of past surges from which the length of the current one is expected. */
    val rememberedSurges: Int = 8,
    /** Number of groups that always remain to a model. */
    val remainingGroups: Int = 2,
    /** Period over which the rate of lost groups is measured. */
    val lossPeriod: Duration = 30.seconds,
)

/** A time in which a model lacks slots. */
data class Surge(
    val since: Duration,
    /** Demand in slots below which the surge is over. Groups that are added in the meantime don't change it. */
    val endsBelow: Double,
    /** Whether the log contains why no group moves. */
    val isDeclineLogged: Boolean = false,
)

/** Demand for one model over time. */
data class ModelTrend(
    /** Smoothed demand in slots. */
    val slots: Double,
    val surge: Surge? = null,
    /** Lengths of the latest surges, the oldest first. */
    val lengths: List<Duration> = emptyList(),
) {
    /**
     * Expected remaining time of a surge that has lasted for [elapsed]: the mean of the known surges that lasted
     * longer, less [elapsed]. If none lasted longer, as long again as it has lasted, so that a wrong guess costs at
     * most as much as the wait before it.
     */
    fun expectedRemaining(elapsed: Duration): Duration {
        val longer = lengths.filter { it > elapsed }
        if (longer.isEmpty()) return elapsed
        return longer.fold(Duration.ZERO, Duration::plus) / longer.size - elapsed
    }
}

/** Stages of a [GroupMove]. */
enum class MoveStage { STAGING, RETIRING, FORMING }

/** Engines that change from one model to another: spares if [donors] is empty, else the members of groups. */
data class GroupMove(
    val receiver: ModelName,
    /** Model of [donors]; null if spares move. */
    val donor: ModelName?,
    /** Groups that are closed one after the other. */
    val donors: List<GroupId>,
    /** Engines that need the weights of [receiver]. */
    val engines: List<BackendServer>,
    /** Number of serving groups of [receiver] after the move. */
    val goal: Int,
    /** The move is given up if it has not ended by then. */
    val deadline: Duration,
    /** Whether it returns groups to the configured shares. */
    val isReturn: Boolean = false,
    val stage: MoveStage = MoveStage.STAGING,
    /** Number of [donors] that are dissolved. */
    val retired: Int = 0,
)

/** State of [DemandFormation] for one service. It is kept in memory by the active controller only. */
data class DemandFormationState(
    val trends: Map<ModelName, ModelTrend> = emptyMap(),
    /** When the last decision was made; null before the first one. */
    val decidedAt: Duration? = null,
    /** When the demand was last known. */
    val knownAt: Duration? = null,
    /** Demand is acted on from then. */
    val usableFrom: Duration = Duration.ZERO,
    /** Whether the configured shares apply for lack of demand data. */
    val isLost: Boolean = false,
    /** Groups that were lost, with the time; the latest [DemandSettings.lossPeriod] only. */
    val losses: Map<GroupId, Duration> = emptyMap(),
    val move: GroupMove? = null,
    /** Numbers of groups after moves; they apply until the groups have moved back. */
    val moved: Map<ModelName, Int> = emptyMap(),
    /** When the last surge or move ended. */
    val calmSince: Duration = Duration.ZERO,
    val plan: DemandPlan = DemandPlan(),
)
