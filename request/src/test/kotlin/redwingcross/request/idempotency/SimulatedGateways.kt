package redwingcross.request.idempotency

import redwingcross.request.AttemptId
import redwingcross.request.NotRunReason
import redwingcross.request.Outcome
import redwingcross.request.ProcessName
import redwingcross.request.service.ServiceAnswer
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.test.fail
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.seconds

/** Fault of a dispatch to the back end. */
enum class DispatchFault { NONE, LOST_ANSWER, LOST_REQUEST, NOT_SENT, RUNS_LATER }

/** Attempt in the memory of a gateway, with either an effect to carry out or a received event to handle. */
class SimulatedAttempt(val name: RecordName, val startedAfterCompletion: Boolean, var call: NonIdempotentCall) {
    var effect: CallEffect? = null
    var event: CallEvent? = CallEvent.Started
    var calledAt: Duration = Duration.ZERO
    var hadFault = false
}

/** State of a gateway process, which is lost when the process is killed. */
class SimulatedGateway(val name: ProcessName) {
    val attempts = linkedMapOf<AttemptId, SimulatedAttempt>()
    val neverRan = mutableSetOf<AttemptId>()
    val deferredUpdates = mutableListOf<Pair<RecordName, DeferredUpdate>>()
}

/**
 * Simulation of gateways, the store and the back end under virtual time. The back end counts the runs and so checks
 * that there is at most one for each key until the records expire, and none of an attempt that was reported as not run.
 */
class SimulatedGateways(private val names: List<RecordName>) {
    val store = SimulatedStore()
    private val gateways = MutableList(3) { SimulatedGateway(ProcessName("gateway-$it")) }
    private val runs = mutableMapOf<RecordName, MutableList<AttemptId>>()
    private val everRan = mutableSetOf<AttemptId>()
    private val reportedNotRun = mutableSetOf<AttemptId>()
    private val delayedRuns = mutableListOf<Pair<RecordName, AttemptId>>()
    private var now = Duration.ZERO
    private var attempts = 0

    fun start(pick: Int) {
        val gateway = gateways[pick % gateways.size]
        val name = names[pick / gateways.size % names.size]
        val id = AttemptId("attempt-${attempts++}")
        val context =
            CallContext(id, gateway.name, BodyDigest("digest"), now + DEADLINES[pick % DEADLINES.size].seconds)
        val isCompleted = store[name]?.record?.state == RecordState.COMPLETED
        gateway.attempts[id] = SimulatedAttempt(name, isCompleted, NonIdempotentCall(context))
    }

    fun advanceTime(step: Duration) {
        now += step
    }

    /** Replaces a gateway by one with the same name and empty memory. */
    fun kill(pick: Int) {
        val index = pick % gateways.size
        gateways[index] = SimulatedGateway(gateways[index].name)
    }

    /** Advances the time by more than the retention period, so that all records expire and the keys can run again. */
    fun expire() {
        runDelayed()
        now += 25.hours
        store.expireAll()
        runs.clear()
    }

    fun runDelayed() {
        delayedRuns.forEach { (name, attempt) -> run(name, attempt) }
        delayedRuns.clear()
    }

    /** Carries out the effect or handles the event of one attempt; false if there is no attempt. */
    fun step(pick: Int, fault: Int): Boolean {
        val all = gateways.flatMap { gateway -> gateway.attempts.values.map { gateway to it } }
        if (all.isEmpty()) return false
        val (gateway, attempt) = all[pick % all.size]
        val effect = attempt.effect
        if (effect == null) handle(gateway, attempt) else execute(attempt, effect, fault)
        return true
    }

    fun runCleaner(pick: Int, fault: StoreFault) {
        val gateway = gateways[pick % gateways.size]
        val (name, update) = gateway.deferredUpdates.firstOrNull() ?: return
        when (update) {
            is DeferredUpdate.Store -> store.write(name, CallEffect.Write(update.record, update.expected), fault)

            is DeferredUpdate.Remove -> (store.read(name, fault) as? CallEvent.Read)?.found
                ?.takeIf { it.record.attempt == update.attempt && it.record.state == RecordState.STARTED }
                ?.let { store.write(name, CallEffect.Delete(it.version), fault) }
        }
        if (fault == StoreFault.NONE && !store.isDown) gateway.deferredUpdates.removeFirst()
    }

    /** Ends all faults and checks that each attempt ends, then does the same with one more attempt for each key. */
    fun settle() {
        store.isDown = false
        var steps = 0
        while (step(steps, 0)) if (steps++ > MAX_STEPS) fail("an attempt does not end")
        store.applyAllDelayed()
        runDelayed()
        names.indices.forEach { start(it * gateways.size) }
        while (step(0, 0)) if (steps++ > MAX_STEPS) fail("an attempt does not end")
    }

    /** Attempts that were reported as not run although the back end ran them. */
    fun falseRefusals(): Set<AttemptId> = everRan intersect reportedNotRun

    private fun handle(gateway: SimulatedGateway, attempt: SimulatedAttempt) {
        val step = attempt.call.next(attempt.event ?: error("the attempt has neither an effect nor an event"), now)
        attempt.call = step.state
        attempt.event = null
        step.effects.filterIsInstance<CallEffect.DeferUpdate>().forEach {
            gateway.deferredUpdates +=
                attempt.name to it.update
        }
        when (val effect = step.effects.last()) {
            is CallEffect.Finish -> finish(gateway, attempt, effect.result)

            else -> {
                if (effect == CallEffect.Dispatch) checkDispatchAllowed(attempt)
                if (effect == CallEffect.Dispatch) dispatch(attempt) else attempt.effect = effect
                attempt.calledAt = now
            }
        }
    }

    private fun checkDispatchAllowed(attempt: SimulatedAttempt) {
        assertTrue(now < attempt.call.context.deadline, "dispatched after the deadline")
        assertTrue(now - attempt.calledAt <= attempt.call.context.limits.claimLifetime, "the claim had expired")
    }

    /** Dispatches in the same step as the checks before it. The fault is derived from the attempt id. */
    private fun dispatch(attempt: SimulatedAttempt) {
        val id = attempt.call.context.attempt
        val fault = DispatchFault.entries[id.value.hashCode().mod(DISPATCH_FAULTS).coerceAtMost(4)]
        if (fault == DispatchFault.NONE || fault == DispatchFault.LOST_ANSWER) run(attempt.name, id)
        if (fault == DispatchFault.RUNS_LATER) delayedRuns += attempt.name to id
        attempt.event = CallEvent.DispatchEnded(
            when (fault) {
                DispatchFault.NONE -> Outcome.Completed(answerOf(id))
                DispatchFault.NOT_SENT -> Outcome.NotRun(NotRunReason.CONNECT_FAILED)
                else -> Outcome.Unknown("no answer")
            },
        )
    }

    private fun run(name: RecordName, attempt: AttemptId) {
        val all = runs.getOrPut(name) { mutableListOf() }.apply { add(attempt) }
        everRan += attempt
        assertEquals(1, all.size, "key ${name.value} ran more than once: $all")
    }

    private fun execute(attempt: SimulatedAttempt, effect: CallEffect, number: Int) {
        val fault = StoreFault.entries.getOrElse(number) { StoreFault.NONE }
        attempt.hadFault = attempt.hadFault || fault != StoreFault.NONE || store.isDown
        attempt.effect = null
        attempt.event = when (effect) {
            is CallEffect.Write, is CallEffect.Delete -> store.write(attempt.name, effect, fault)
            CallEffect.Read -> store.read(attempt.name, fault)
            is CallEffect.Wait -> CallEvent.WaitElapsed.also { now += effect.duration }
            is CallEffect.RequestAbandon -> CallEvent.AbandonAnswered(
                abandon(effect) && fault != StoreFault.LOST_ANSWER,
            )
            else -> error("unexpected effect $effect")
        }
    }

    private fun abandon(effect: CallEffect.RequestAbandon): Boolean {
        val gateway = gateways.single { it.name == effect.gateway }
        val attempt = gateway.attempts[effect.attempt] ?: return effect.attempt in gateway.neverRan
        val step = attempt.call.next(CallEvent.AbandonRequested, now)
        attempt.call = step.state
        return step.effects == listOf(CallEffect.ReplyAbandon(true))
    }

    private fun finish(gateway: SimulatedGateway, attempt: SimulatedAttempt, result: NonIdempotentResult) {
        val id = attempt.call.context.attempt
        gateway.attempts.remove(id)
        if (!attempt.call.mayHaveRun) gateway.neverRan += id
        val isOwnRun = result is NonIdempotentResult.Answered && !result.replayed
        if (!isOwnRun && result !is NonIdempotentResult.OutcomeUnknown) reportedNotRun += id
        if (result is NonIdempotentResult.Answered) {
            val ran = AttemptId(result.answer.body.decodeToString())
            assertTrue(ran in everRan && result.replayed == (ran != id), "answer of another attempt")
        }
        if (attempt.startedAfterCompletion && !attempt.hadFault && result !is NonIdempotentResult.NotRun) {
            // More than an hour after the claim deadline, the record has expired and the key may have run again.
            val isReplayed = result is NonIdempotentResult.Answered && result.replayed
            assertTrue(
                isReplayed || now - attempt.call.claimDeadline > 1.hours,
                "completed answer not replayed: $result",
            )
        }
    }

    private fun answerOf(attempt: AttemptId) = ServiceAnswer(200, "text/plain", attempt.value.encodeToByteArray())

    private companion object {
        val DEADLINES = listOf(3, 10, 60, 120)

        /** More than the number of faults, so that [DispatchFault.RUNS_LATER] is more frequent than the others. */
        const val DISPATCH_FAULTS = 7
        const val MAX_STEPS = 20_000
    }
}
