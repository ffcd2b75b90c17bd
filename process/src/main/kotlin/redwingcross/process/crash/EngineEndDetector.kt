package redwingcross.process.crash

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.GroupId
import redwingcross.request.RequestIdentity
import redwingcross.request.Transition
import redwingcross.version.fleet.EngineStart
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Message to [EngineEndDetector]. */
sealed interface EngineEndMessage {
    /**
     * The connection of the request [attempt] to the engine of [run], the head of [group], ended. [suspect] is null if
     * the engine had begun to answer the request.
     */
    data class ConnectionLost(
        val run: EngineRun,
        val group: GroupId?,
        val attempt: AttemptId,
        val suspect: RequestIdentity?,
    ) : EngineEndMessage

    /** No connection to [engine] could be opened. */
    data class NotConnected(val engine: BackendServer) : EngineEndMessage

    /** The controller reported that [groups] have lost a member. */
    data class GroupsLost(val groups: Set<GroupId>) : EngineEndMessage

    /** The engines that are listed at present, with their starts, as far as [EngineEndState.engines] names them. */
    data class EnginesListed(val starts: Map<BackendServer, EngineStart?>) : EngineEndMessage
}

/** A connection to an engine that ended at [at] under the request [attempt]; see [EngineEndMessage.ConnectionLost]. */
data class LostConnection(val at: Duration, val attempt: AttemptId, val suspect: RequestIdentity?)

/** Lost connections of one run of an engine that may have ended; empty once [isEnded] is known. */
data class PossibleEnd(
    val group: GroupId?,
    val connections: List<LostConnection>,
    val firstLossAt: Duration,
    val lastLossAt: Duration,
    val isEnded: Boolean = false,
)

/** State of [EngineEndDetector]: the runs of engines that may have ended in the last seconds. */
data class EngineEndState(val runs: Map<EngineRun, PossibleEnd> = emptyMap()) {
    /** Engines about which [EngineEndMessage.EnginesListed] is useful. */
    val engines: Set<BackendServer> get() = runs.filterValues { !it.isEnded }.keys.mapTo(HashSet()) { it.engine }
}

/**
 * Decides whether an engine has ended when connections to it are lost.
 *
 * Single connections are also lost for other reasons. Therefore a lost connection accuses its request only once the end
 * is confirmed: by another request that lost its connection to the engine at nearly the same time, by a failed connect,
 * by the controller, or by the list of engines. Without confirmation it is forgotten.
 */
object EngineEndDetector {
    /** Lost connections of one engine within this time have the same cause; longer than an event loop is busy. */
    val simultaneous: Duration = 250.milliseconds

    /** The list names an engine that ended for three of its heartbeats, which are 1.2 s apart, and then lags. */
    val confirmationTime: Duration = 5.seconds

    /** Runs that are kept: twice the engines of a zone of 60 engines, which may end together. */
    const val MAXIMUM_RUNS: Int = 128

    /** Lost connections that are kept for a run: twice the requests that an engine holds. */
    const val MAXIMUM_CONNECTIONS: Int = 32

    private const val REQUESTS_THAT_CONFIRM = 2

    /** Applies [message]; the effects are the observed ends, with the requests that this gateway had there. */
    fun step(
        state: EngineEndState,
        message: EngineEndMessage,
        now: Duration,
    ): Transition<EngineEndState, CrashObservation> {
        val current = expired(state, now)
        return when (message) {
            is EngineEndMessage.ConnectionLost -> connectionLost(current, message, now)
            is EngineEndMessage.NotConnected -> ended(current, now) { run, _ -> run.engine == message.engine }
            is EngineEndMessage.GroupsLost -> ended(current, now) { _, end -> end.group in message.groups }
            is EngineEndMessage.EnginesListed -> ended(current, now) { run, _ -> hasEnded(run, message.starts) }
        }
    }

    private fun expired(state: EngineEndState, now: Duration): EngineEndState {
        val kept = state.runs.filterValues { now - it.lastLossAt < confirmationTime }
        return if (kept.size == state.runs.size) state else EngineEndState(kept)
    }

    private fun connectionLost(
        state: EngineEndState,
        message: EngineEndMessage.ConnectionLost,
        now: Duration,
    ): Transition<EngineEndState, CrashObservation> {
        val known = state.runs[message.run]
        if (known?.isEnded == true) {
            val observed = message.suspect?.let { CrashObservation(message.run, listOf(it), now - known.firstLossAt) }
            return Transition(state, listOfNotNull(observed))
        }
        // Losses that are further apart have separate causes: the engine still ran between them.
        val recent = known?.connections.orEmpty().filter { now - it.at <= simultaneous }
        val connections = (recent + LostConnection(now, message.attempt, message.suspect)).takeLast(MAXIMUM_CONNECTIONS)
        val possibleEnd = PossibleEnd(message.group, connections, connections.first().at, now)
        val next = bounded(state.runs + (message.run to possibleEnd))
        val requests = connections.distinctBy { it.attempt }.size
        if (requests < REQUESTS_THAT_CONFIRM) return Transition(next)
        return ended(next, now) { run, _ -> run == message.run }
    }

    /** A run that is missing from the list has ended; one without a known start can't be told from its successor. */
    private fun hasEnded(run: EngineRun, starts: Map<BackendServer, EngineStart?>): Boolean {
        if (run.engine !in starts) return true
        val listed = starts[run.engine]
        return run.start != null && listed != null && listed != run.start
    }

    private fun ended(
        state: EngineEndState,
        now: Duration,
        isEnded: (EngineRun, PossibleEnd) -> Boolean,
    ): Transition<EngineEndState, CrashObservation> {
        val confirmed = state.runs.filter { (run, end) -> !end.isEnded && isEnded(run, end) }
        if (confirmed.isEmpty()) return Transition(state)
        val marked = confirmed.mapValues { (_, end) -> end.copy(connections = emptyList(), isEnded = true) }
        val observations = confirmed.map { (run, end) ->
            CrashObservation(run, end.connections.mapNotNull { it.suspect }, now - end.firstLossAt)
        }
        return Transition(EngineEndState(state.runs + marked), observations)
    }

    private fun bounded(runs: Map<EngineRun, PossibleEnd>): EngineEndState {
        if (runs.size <= MAXIMUM_RUNS) return EngineEndState(runs)
        val oldest = runs.minBy { it.value.lastLossAt }.key
        return EngineEndState(runs - oldest)
    }
}
