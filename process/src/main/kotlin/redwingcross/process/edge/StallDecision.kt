package redwingcross.process.edge

import redwingcross.request.GroupId
import redwingcross.request.ProcessName
import redwingcross.request.Transition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What one gateway reported of a group. */
data class SilentStreams(val streams: Int, val silentSince: Duration, val receivedAt: Duration)

/** What the gateways reported of one group. */
data class GroupEvidence(
    val reports: Map<ProcessName, SilentStreams> = emptyMap(),
    /** When a gateway last reported that the group makes progress; null if none did. */
    val progressedAt: Duration? = null,
    /** The silence for which the group was last marked until it made progress again; null if it never was. */
    val pause: EndedPause? = null,
    /** When its members were last asked whether they still run. */
    val askedAt: Duration = -Duration.INFINITE,
)

/** A silence of [length] that ended with progress at [endedAt]. */
data class EndedPause(val length: Duration, val endedAt: Duration)

/** A group that is marked as making no progress. */
data class StallMark(val since: Duration, val silentSince: Duration, val lastEvidenceAt: Duration)

/** Evidence of silent groups and the groups that are marked. */
data class StallState(
    val evidence: Map<GroupId, GroupEvidence> = emptyMap(),
    val marks: Map<GroupId, StallMark> = emptyMap(),
)

/** Input of [StallDecision]. */
sealed interface StallMessage {
    /** A gateway reports that its streams at a group are silent. */
    data class Silent(
        val gateway: ProcessName,
        val group: GroupId,
        val streams: Int,
        val silentFor: Duration,
        /** Requests in flight at the group as last reported; null if no such group serves. */
        val inFlight: Int?,
    ) : StallMessage

    /** A gateway reports that a group has sent an event after its silence. */
    data class Progressed(val group: GroupId) : StallMessage

    /** Time has passed; needed only while a group is marked. */
    data object Tick : StallMessage
}

/** Action that the task running [StallDecision] carries out. */
sealed interface StallEffect {
    /** Asks the members of the group whether they still run. */
    data class AskMembers(val group: GroupId) : StallEffect

    /** Tells all gateways that a group was marked. */
    data class Marked(
        val group: GroupId,
        val streams: Int,
        val inFlight: Int,
        val gateways: Int,
        val silentFor: Duration,
    ) : StallEffect

    /** Tells all gateways that a mark was withdrawn. */
    data class Withdrawn(val group: GroupId, val after: Duration, val reason: WithdrawalReason) : StallEffect

    /** Counts evidence that can't be true. */
    data class Ignored(val group: GroupId, val reason: String) : StallEffect
}

/** Why a mark was withdrawn. */
enum class WithdrawalReason { PROGRESS, NO_EVIDENCE }

/**
 * Decides which groups make no progress, from the reports of all gateways.
 *
 * Answers the loss of engines under load: about twenty streams of a group are spread over up to 109 gateways, most of
 * which see none, and all of them go on sending requests there until the loss is confirmed. One gateway can't tell a
 * lost group from one that reads long prompts; most of the group's streams together can.
 */
object StallDecision {
    /** Applies [message] at [now]. */
    fun step(state: StallState, message: StallMessage, now: Duration): Transition<StallState, StallEffect> =
        when (message) {
            is StallMessage.Silent -> silent(state, message, now)
            is StallMessage.Progressed -> progressed(state, message.group, now)
            StallMessage.Tick -> expired(state, now)
        }

    private fun silent(
        state: StallState,
        message: StallMessage.Silent,
        now: Duration,
    ): Transition<StallState, StallEffect> {
        implausible(message)?.let { return Transition(state, listOf(StallEffect.Ignored(message.group, it))) }
        val group = message.group
        val known = state.evidence[group] ?: GroupEvidence()
        val silentSince = now - message.silentFor
        if (contradicts(known.progressedAt, silentSince, now)) return Transition(state)
        val mark = state.marks[group]
        if (mark == null && message.silentFor < requiredSilence(known.pause, now)) return Transition(state)
        val report = SilentStreams(message.streams, silentSince, now)
        val reports = known.reports.filterValues { now - it.receivedAt < EVIDENCE_LIFETIME } +
            (message.gateway to report)
        val next = state.copy(evidence = state.evidence + (group to known.copy(reports = reports)))
        val inFlight = message.inFlight ?: 0
        return when {
            mark != null -> extended(next, group, mark, now)
            isStalled(reports.values, inFlight) -> marked(next, group, inFlight, now)
            else -> Transition(next)
        }
    }

    private fun implausible(message: StallMessage.Silent): String? = when {
        message.inFlight == null -> "unknown_group"
        message.streams <= 0 || message.streams > message.inFlight + UNREPORTED_REQUESTS -> "streams"
        message.silentFor !in Duration.ZERO..LONGEST_SILENCE -> "silence"
        else -> null
    }

    /** Datagrams may arrive out of order; a report is outdated if the group has progressed since its silence began. */
    private fun contradicts(progressedAt: Duration?, silentSince: Duration, now: Duration): Boolean =
        progressedAt != null && silentSince < progressedAt && now - progressedAt < PROGRESS_PRECEDENCE

    /** A group that has paused and gone on may pause as long again, as a slow one does between all its events. */
    private fun requiredSilence(pause: EndedPause?, now: Duration): Duration =
        if (pause == null || now - pause.endedAt >= PAUSE_MEMORY) {
            Duration.ZERO
        } else {
            (pause.length * REPEATED_PAUSE).coerceAtMost(LONGEST_REQUIRED_SILENCE)
        }

    private fun isStalled(reports: Collection<SilentStreams>, inFlight: Int): Boolean {
        val streams = reports.sumOf { it.streams }
        return streams >= inFlight || reports.size >= SEVERAL_GATEWAYS && streams >= inFlight * STALLED_FRACTION
    }

    private fun marked(
        state: StallState,
        group: GroupId,
        inFlight: Int,
        now: Duration,
    ): Transition<StallState, StallEffect> {
        val reports = state.evidence.getValue(group).reports.values
        val silentSince = reports.maxOf { it.silentSince }
        val effect =
            StallEffect.Marked(group, reports.sumOf { it.streams }, inFlight, reports.size, now - silentSince)
        val marks = state.marks + (group to StallMark(now, silentSince, now))
        val asked = asked(state.copy(marks = marks), group, silentSince, now)
        return Transition(asked.state, listOf(effect) + asked.effects)
    }

    /** Asks the members unless they were asked lately and answered: queries are expensive for engines. */
    private fun asked(
        state: StallState,
        group: GroupId,
        silentSince: Duration,
        now: Duration,
    ): Transition<StallState, StallEffect> {
        val known = state.evidence.getValue(group)
        val interval = if (now - silentSince >= LONG_SILENCE) ASK_INTERVAL else SHORT_SILENCE_ASK_INTERVAL
        if (now - known.askedAt < interval) return Transition(state)
        val next = state.copy(evidence = state.evidence + (group to known.copy(askedAt = now)))
        return Transition(next, listOf(StallEffect.AskMembers(group)))
    }

    private fun extended(
        state: StallState,
        group: GroupId,
        mark: StallMark,
        now: Duration,
    ): Transition<StallState, StallEffect> {
        val marks = state.marks + (group to mark.copy(lastEvidenceAt = now))
        return asked(state.copy(marks = marks), group, mark.silentSince, now)
    }

    private fun progressed(state: StallState, group: GroupId, now: Duration): Transition<StallState, StallEffect> {
        // Progress of a group without evidence tells nothing, so that unknown names take no memory.
        val known = state.evidence[group] ?: return Transition(state)
        val mark = state.marks[group]
        val pause = mark?.let { EndedPause(now - it.silentSince, now) } ?: known.pause
        val ended = known.copy(reports = emptyMap(), progressedAt = now, pause = pause)
        val next = state.copy(evidence = state.evidence + (group to ended), marks = state.marks - group)
        if (mark == null) return Transition(next)
        return Transition(next, listOf(StallEffect.Withdrawn(group, now - mark.since, WithdrawalReason.PROGRESS)))
    }

    private fun expired(state: StallState, now: Duration): Transition<StallState, StallEffect> {
        val ended = state.marks.filterValues { now - it.lastEvidenceAt >= MARK_LIFETIME }
        val evidence = state.evidence.filter { (group, known) ->
            group in state.marks ||
                known.reports.values.any { now - it.receivedAt < EVIDENCE_LIFETIME } ||
                known.progressedAt?.let { now - it < PAUSE_MEMORY } == true ||
                now - known.askedAt < PAUSE_MEMORY
        }
        return Transition(
            StallState(evidence, state.marks - ended.keys),
            ended.map { (group, mark) ->
                StallEffect.Withdrawn(group, now - mark.since, WithdrawalReason.NO_EVIDENCE)
            },
        )
    }

    /** Of two gateways that see the same at once, none is the one that was itself paused. */
    private const val SEVERAL_GATEWAYS = 2

    /** The other requests in flight are those without a first event, and those sent there since the last reports. */
    private const val STALLED_FRACTION = 0.5

    /** Load is reported each 250 ms, so a gateway may have sent some more requests than are known. */
    private const val UNREPORTED_REQUESTS = 4

    /** Engines end their requests after some seconds of silence. */
    private val LONGEST_SILENCE = 30.seconds

    /** Gateways repeat their evidence each 100 ms, so one datagram may be lost. */
    private val EVIDENCE_LIFETIME = 250.milliseconds

    /** After this time, progress that a gateway noticed late doesn't hide a stall any longer. */
    private val PROGRESS_PRECEDENCE = 200.milliseconds

    /**
     * A mark ends this long after the last evidence. The gateways move their requests away and have none left to
     * report, and the members of a lost group are found missing 250 to 300 ms after they were asked.
     */
    val MARK_LIFETIME: Duration = 500.milliseconds

    /** The controller needs this long to find out whether a group has lost a member. */
    private val ASK_INTERVAL = 400.milliseconds

    /** After this silence a gateway alone suspects the group, so its members would be asked in any case. */
    private val LONG_SILENCE = 350.milliseconds

    /** Members of a slow group, whose silences are short and many, are asked this seldom. */
    private val SHORT_SILENCE_ASK_INTERVAL = 3.seconds

    /** How long a pause that ended is remembered, and how much longer the next one has to be. */
    private val PAUSE_MEMORY = 5.seconds
    private const val REPEATED_PAUSE = 1.5

    /** Beyond the 350 ms after which gateways suspect a group themselves, sharing gains little. */
    private val LONGEST_REQUIRED_SILENCE = 450.milliseconds
}
