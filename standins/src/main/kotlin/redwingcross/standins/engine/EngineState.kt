package redwingcross.standins.engine

import redwingcross.connection.engine.EngineOrder
import redwingcross.connection.engine.EngineReport
import redwingcross.request.ServiceName
import redwingcross.request.Vm
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Weights in the engine's memory; they are complete from [readyAt] on. */
internal data class LoadedWeights(
    val model: ServiceName,
    val modelVersion: String,
    val rank: Int,
    val readyAt: Duration,
)

/** Load figures at a time, kept to report them with a lag. */
internal data class LoadSample(val at: Duration, val running: Int)

/** The engine's answer to an order. */
internal sealed interface OrderReply {
    data object Accepted : OrderReply

    data class Fenced(val highest: Long) : OrderReply
}

/** Whether a chat request is run. */
internal sealed interface Admission {
    data class Run(val bootId: String, val key: Long) : Admission

    data class Refused(val status: Int, val reason: String) : Admission

    /** The request was more than a cold engine bears; the engine has started anew. */
    data object Crashed : Admission
}

private const val STATUS_CONFLICT = 409
private const val STATUS_UNAVAILABLE = 503
private const val MAX_RUNS = 20_000
private const val MAX_SAMPLES = 64

/** A chat request as far as admission needs it. */
internal data class ChatHeaders(
    val attempt: String,
    val request: String,
    val group: String,
    val generation: Long,
    val resumeOffset: Int,
)

/** State of one stand-in engine. All times are readings of the process clock. */
internal data class EngineState(
    val vm: Vm,
    val settings: EngineSettings,
    val boot: Int = 1,
    val bootAt: Duration = Duration.ZERO,
    val order: EngineOrder? = null,
    val weights: LoadedWeights? = null,
    val coldSince: Duration = Duration.ZERO,
    val highestFencing: Long = 0,
    /** Running attempts by key; the keys are indexes into [runs]. */
    val running: Set<Long> = emptySet(),
    val runs: Map<Long, EngineRun> = emptyMap(),
    val nextRun: Long = 0,
    val samples: List<LoadSample> = emptyList(),
    val faults: EngineFaults = EngineFaults(),
    val frozenUntil: Duration = Duration.ZERO,
    /** Last answers of the members, by address, while this engine leads a group. */
    val members: Map<String, KnownAnswer> = emptyMap(),
) {
    val bootId: String get() = "$vm-$boot"
    val isDown: Boolean get() = faults.down == true

    fun isReady(now: Duration): Boolean = weights != null && now >= weights.readyAt

    fun uptime(now: Duration): Duration = now - bootAt

    /** Requests that the engine bears at [now]. */
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

    fun ordered(order: EngineOrder, now: Duration): Pair<EngineState, OrderReply> {
        if (settings.checksFencing && order.fencing < highestFencing) return this to OrderReply.Fenced(highestFencing)
        val kept = weights?.takeIf {
            it.model == order.model && it.modelVersion == order.modelVersion && it.rank == order.rank
        }
        val next = kept ?: LoadedWeights(order.model, order.modelVersion, order.rank, now + settings.loadTime)
        val fencing = maxOf(highestFencing, order.fencing)
        return copy(order = order, weights = next, highestFencing = fencing) to OrderReply.Accepted
    }

    fun admitted(chat: ChatHeaders, now: Duration): Pair<EngineState, Admission> {
        val refusal = refusal(chat, now)
        return when {
            refusal != null -> this to refusal
            running.size < capacity(now) -> started(chat, now)
            capacity(now) < settings.warmLimit -> crashed(now) to Admission.Crashed
            else -> this to Admission.Refused(STATUS_UNAVAILABLE, "overloaded")
        }
    }

    private fun refusal(chat: ChatHeaders, now: Duration): Admission.Refused? {
        val present = order
        return when {
            present == null || present.rank != 0 || present.members.isEmpty() -> conflict("not the leader of a group")
            present.group.value != chat.group || present.generation != chat.generation ->
                conflict("leads ${present.group} generation ${present.generation}")
            !isReady(now) -> conflict("weights are not loaded")
            else -> null
        }
    }

    private fun conflict(reason: String) = Admission.Refused(STATUS_CONFLICT, reason)

    private fun started(chat: ChatHeaders, now: Duration): Pair<EngineState, Admission> {
        val run =
            EngineRun(chat.attempt, chat.request, chat.group, chat.generation, vm.value, bootId, chat.resumeOffset)
        val next =
            copy(
                running = running + nextRun,
                runs = runs + (nextRun to run) - (nextRun - MAX_RUNS),
                nextRun =
                nextRun + 1,
            )
        return next.sampled(now) to Admission.Run(bootId, nextRun)
    }

    /** Counts a token; false if the run has ended, for example by a cancel or a crash. */
    fun sent(key: Long): Pair<EngineState, Boolean> = if (key in running) {
        val run = runs.getValue(key)
        copy(runs = runs + (key to run.copy(tokens = run.tokens + 1))) to true
    } else {
        this to false
    }

    fun ended(key: Long, end: RunEnd, now: Duration): EngineState = if (key in running) {
        val run = runs[key]
        val changed = if (run == null) runs else runs + (key to run.copy(end = end))
        copy(running = running - key, runs = changed).sampled(now)
    } else {
        this
    }

    fun cancelled(attempt: String, now: Duration): Pair<EngineState, Boolean> {
        val keys = running.filter { runs[it]?.attempt == attempt }
        return keys.fold(this) { state, key -> state.ended(key, RunEnd.CANCELLED, now) } to keys.isNotEmpty()
    }

    /** The process ends and starts again: no order, no weights, no memory of tokens. */
    fun crashed(now: Duration): EngineState = running
        .fold(this) { state, key -> state.ended(key, RunEnd.CRASHED, now) }
        .copy(boot = boot + 1, bootAt = now, order = null, weights = null, highestFencing = 0, members = emptyMap())

    fun faulted(change: EngineFaults, now: Duration): EngineState {
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
        val restarted = if (change.down != null && change.down != isDown) crashed(now) else this
        return restarted.copy(faults = merged, frozenUntil = frozen, coldSince = cold)
    }

    /** Takes the next fault that applies to a `POST`; [stream] is true for chat requests. */
    fun takeFault(stream: Boolean): Pair<EngineState, RequestFault> = when {
        faults.silentNext.isSet() -> copy(faults = faults.copy(silentNext = faults.silentNext.less())) to
            RequestFault.SILENT
        faults.loseAnswerNext.isSet() ->
            copy(faults = faults.copy(loseAnswerNext = faults.loseAnswerNext.less())) to RequestFault.LOSE_ANSWER
        stream && faults.cutNext.isSet() ->
            copy(faults = faults.copy(cutNext = faults.cutNext.less())) to RequestFault.CUT
        stream && faults.crossNext.isSet() ->
            copy(faults = faults.copy(crossNext = faults.crossNext.less())) to RequestFault.CROSS
        else -> this to RequestFault.NONE
    }

    private fun sampled(now: Duration) = copy(samples = (samples + LoadSample(now, running.size)).takeLast(MAX_SAMPLES))
}

private fun Int?.isSet() = this != null && this > 0

private fun Int?.less() = (this ?: 0) - 1
