package redwingcross.standins.engine

import redwingcross.connection.engine.EngineOrder
import redwingcross.connection.engine.EngineReport
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Weights in the engine's memory; loading is complete at [readyAt]. */
internal data class LoadedWeights(
    val model: ServiceName,
    val modelVersion: String,
    val rank: Int,
    val readyAt: Duration,
)

/** Number of running requests at a time; kept so that reports can lag by [EngineSettings.reportLag]. */
internal data class LoadSample(val at: Duration, val running: Int)

/** Result of an order. */
internal sealed interface OrderReply {
    data object Accepted : OrderReply

    /** The order was refused because the engine had received the higher fencing token [highest]. */
    data class Fenced(val highest: Long) : OrderReply
}

/** Result of admission control for a chat request. */
internal sealed interface Admission {
    data class Run(val bootId: String, val key: Long) : Admission

    data class Refused(val status: Int, val reason: String) : Admission

    /** The request exceeded the limit of a cold engine, which crashed and restarted. */
    data object Crashed : Admission
}

private const val STATUS_CONFLICT = 409
private const val STATUS_UNAVAILABLE = 503
private const val MAX_RUNS = 20_000
private const val MAX_SAMPLES = 64

/** Headers of a chat request that admission control reads. */
internal data class ChatHeaders(
    val attempt: String,
    val request: String,
    val group: String,
    val generation: Long,
    val resumeOffset: Int,
)

/** State of one stand-in engine. All points in time are readings of the monotonic clock of the process. */
internal data class EngineState(
    val vm: Vm,
    val settings: EngineSettings,
    val boot: Int = 1,
    val bootAt: Duration = Duration.ZERO,
    val order: EngineOrder? = null,
    val weights: LoadedWeights? = null,
    val coldSince: Duration = Duration.ZERO,
    val highestFencing: Long = 0,
    /** Keys of the running attempts in [runs]. */
    val running: Set<Long> = emptySet(),
    val runs: Map<Long, EngineRun> = emptyMap(),
    val nextRun: Long = 0,
    val samples: List<LoadSample> = emptyList(),
    val faults: EngineFaults = EngineFaults(),
    val frozenUntil: Duration = Duration.ZERO,
    /** Last status of each member by address, cached while this engine leads a group. */
    val members: Map<String, CachedMemberStatus> = emptyMap(),
) {
    val bootId: String get() = "$vm-$boot"
    val isDown: Boolean get() = faults.down == true

    fun isReady(now: Duration): Boolean = weights != null && now >= weights.readyAt

    fun uptime(now: Duration): Duration = now - bootAt

    /** Concurrency limit at [now]. */
    fun capacity(now: Duration): Int {
        val warmSince = maxOf(weights?.readyAt ?: now, coldSince)
        val doublings = ((now - warmSince) / settings.rampStep).toInt().coerceIn(0, 16)
        return minOf(settings.warmLimit.toLong(), settings.coldLimit.toLong() shl doublings).toInt()
    }

    fun report(now: Duration): EngineReport = EngineReport(
        vm = vm,
        bootId = bootId,
        uptimeMillis = uptime(now).inWholeMilliseconds,
        group = order?.group,
        generation = order?.generation,
        rank = order?.rank,
        ready = order != null && isReady(now),
        model = order?.model,
        modelVersion = order?.modelVersion,
        running = samples.lastOrNull { it.at <= now - settings.reportLag }?.running ?: 0,
        fencing = highestFencing,
        readyMillis = weights?.takeIf {
            isReady(now)
        }?.let { (now - maxOf(it.readyAt, coldSince)).inWholeMilliseconds },
    )

    fun withOrder(order: EngineOrder, now: Duration): Pair<EngineState, OrderReply> {
        if (settings.checksFencing && order.fencing < highestFencing) return this to OrderReply.Fenced(highestFencing)
        val kept = weights?.takeIf {
            it.model == order.model && it.modelVersion == order.modelVersion && it.rank == order.rank
        }
        val next = kept ?: LoadedWeights(order.model, order.modelVersion, order.rank, now + settings.loadTime)
        val fencing = maxOf(highestFencing, order.fencing)
        return copy(order = order, weights = next, highestFencing = fencing) to OrderReply.Accepted
    }

    fun admit(chat: ChatHeaders, now: Duration): Pair<EngineState, Admission> {
        val refusal = refusal(chat, now)
        return when {
            refusal != null -> this to refusal
            running.size < capacity(now) -> startRun(chat, now)
            capacity(now) < settings.warmLimit -> restartedAfterCrash(now) to Admission.Crashed
            else -> this to Admission.Refused(STATUS_UNAVAILABLE, "overloaded")
        }
    }

    private fun refusal(chat: ChatHeaders, now: Duration): Admission.Refused? {
        val current = order
        return when {
            current == null || current.rank != 0 || current.members.isEmpty() -> conflict("not the leader of a group")
            current.group.value != chat.group || current.generation != chat.generation ->
                conflict("leads ${current.group} generation ${current.generation}")
            !isReady(now) -> conflict("weights are not loaded")
            else -> null
        }
    }

    private fun conflict(reason: String) = Admission.Refused(STATUS_CONFLICT, reason)

    private fun startRun(chat: ChatHeaders, now: Duration): Pair<EngineState, Admission> {
        val run =
            EngineRun(chat.attempt, chat.request, chat.group, chat.generation, vm.value, bootId, chat.resumeOffset)
        val next =
            copy(
                running = running + nextRun,
                runs = runs + (nextRun to run) - (nextRun - MAX_RUNS),
                nextRun =
                nextRun + 1,
            )
        return next.withLoadSample(now) to Admission.Run(bootId, nextRun)
    }

    /** Counts a token that is about to be sent; false if the run has ended, for example by a cancel or a crash. */
    fun recordToken(key: Long): Pair<EngineState, Boolean> = if (key in running) {
        val run = runs.getValue(key)
        copy(runs = runs + (key to run.copy(tokens = run.tokens + 1))) to true
    } else {
        this to false
    }

    fun endRun(key: Long, end: RunEnd, now: Duration): EngineState = if (key in running) {
        val run = runs[key]
        val changed = if (run == null) runs else runs + (key to run.copy(end = end))
        copy(running = running - key, runs = changed).withLoadSample(now)
    } else {
        this
    }

    fun cancelAttempt(attempt: String, now: Duration): Pair<EngineState, Boolean> {
        val keys = running.filter { runs[it]?.attempt == attempt }
        return keys.fold(this) { state, key -> state.endRun(key, RunEnd.CANCELLED, now) } to keys.isNotEmpty()
    }

    /** Ends all runs and restarts the engine with a new boot id and without order, weights and fencing token. */
    fun restartedAfterCrash(now: Duration): EngineState = running
        .fold(this) { state, key -> state.endRun(key, RunEnd.CRASHED, now) }
        .copy(boot = boot + 1, bootAt = now, order = null, weights = null, highestFencing = 0, members = emptyMap())

    fun withFaults(change: EngineFaults, now: Duration): EngineState {
        val merged =
            EngineFaults(
                freezeMillis = change.freezeMillis ?: faults.freezeMillis,
                cutNext = change.cutNext ?: faults.cutNext,
                loseAnswerNext = change.loseAnswerNext ?: faults.loseAnswerNext,
                lateMillis = change.lateMillis ?: faults.lateMillis,
                silentNext = change.silentNext ?: faults.silentNext,
                crossNext = change.crossNext ?: faults.crossNext,
                down = change.down ?: faults.down,
                slowFactor = change.slowFactor ?: faults.slowFactor,
            )
        val frozen = change.freezeMillis?.let { now + it.milliseconds } ?: frozenUntil
        val cold = if (change.turnCold == true) now else coldSince
        val restarted = if (change.down != null && change.down != isDown) restartedAfterCrash(now) else this
        return restarted.copy(faults = merged, frozenUntil = frozen, coldSince = cold)
    }

    /** Uses up the next fault that applies to a `POST`; [stream] is true for chat requests. */
    fun takeFault(stream: Boolean): Pair<EngineState, RequestFault> = when {
        faults.silentNext.isPending() -> copy(faults = faults.copy(silentNext = faults.silentNext.decremented())) to
            RequestFault.SILENT
        faults.loseAnswerNext.isPending() ->
            copy(faults = faults.copy(loseAnswerNext = faults.loseAnswerNext.decremented())) to RequestFault.LOSE_ANSWER
        stream && faults.cutNext.isPending() ->
            copy(faults = faults.copy(cutNext = faults.cutNext.decremented())) to RequestFault.CUT
        stream && faults.crossNext.isPending() ->
            copy(faults = faults.copy(crossNext = faults.crossNext.decremented())) to RequestFault.CROSS
        else -> this to RequestFault.NONE
    }

    private fun withLoadSample(now: Duration) =
        copy(samples = (samples + LoadSample(now, running.size)).takeLast(MAX_SAMPLES))
}

private fun Int?.isPending() = this != null && this > 0

private fun Int?.decremented() = (this ?: 0) - 1
