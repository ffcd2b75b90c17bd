package redwingcross.request.model

import redwingcross.request.AttemptId
import redwingcross.request.BackendServer
import redwingcross.request.Customer
import redwingcross.request.NotRunReason
import redwingcross.request.RequestId
import redwingcross.request.ServiceName
import redwingcross.request.slot.Slot
import redwingcross.request.slot.SlotAnswer
import redwingcross.request.slot.SlotId
import redwingcross.request.slot.SlotRequest
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Kind of a random step of a run. Steps of an attempt apply to any attempt made so far, so events of an attempt also
 * arrive after the request has moved on to the next one.
 */
enum class RunStep {
    GRANT,
    REFUSE,
    HEAD,
    TOKEN,
    NEXT_TOKENS,
    DUPLICATE,
    SKIP,
    KEEP_ALIVE,
    END,
    CUT,
    NOT_SENT,
    REJECTED,
    OTHER_INCARNATION,
    CROSS,
    HEADLESS_CROSS,
    SILENCE,
    SHORT_WAIT,
    DEADLINE,
    CALLER_LOST,
    OUTPUT_ACCEPTED,
}

/** Back end's state of one attempt: the position in the answer and the faults injected so far. */
private class FakeAttempt(val id: AttemptId, resumeAt: Long) {
    var position = resumeAt
    var isHeadSent = false

    /** From now on the connection delivers the answer of another request. */
    var isCrossed = false
    var wasNotSent = false
    var hasStarted = false

    /** At least one token was not delivered. */
    var hasSkipped = false
}

/**
 * Runs the state machine against simulated back ends and callers, and checks after each effect that the output is a
 * prefix of the expected answer and that slots, attempts and the result are consistent.
 */
internal class ModelRequestHarness(private val answerLength: Long) {
    private val request = SlotRequest(
        RequestId("r"),
        Customer("c"),
        ServiceName("m"),
        priority = 0,
        heldBytes = 1,
        deadline = 60.seconds,
    )
    private val attempts = mutableListOf<FakeAttempt>()
    private val output = mutableListOf<String>()
    private val heldSlots = mutableSetOf<SlotId>()
    private val acquires = ArrayDeque<SlotRequest>()
    private val failedServers = mutableSetOf<BackendServer>()
    private var granted = 0L
    private var now = Duration.ZERO
    private var state: ModelRequestState
    var result: ModelRequestResult? = null
        private set
    val attemptCount: Int get() = attempts.size

    init {
        val first = startModelRequest(request)
        state = first.state
        first.effects.forEach(::execute)
    }

    /** Applies one step; [pick] selects the attempt and variations of the step. */
    fun applyStep(kind: RunStep, pick: Int) {
        val attempt = attempts.getOrNull(if (attempts.isEmpty()) 0 else pick % attempts.size)
        when (kind) {
            RunStep.GRANT -> if (acquires.isNotEmpty()) answerAcquire(grant())
            RunStep.REFUSE ->
                if (acquires.isNotEmpty()) answerAcquire(SlotAnswer.Refused(NotRunReason.QUEUE_FULL, 1.seconds))
            RunStep.SILENCE -> advance(10.seconds)
            RunStep.SHORT_WAIT -> advance(1.seconds)
            RunStep.DEADLINE -> advance(60.seconds)
            RunStep.CALLER_LOST -> step(ModelRequestEvent.CallerLost(CallerLoss.GONE))
            RunStep.OUTPUT_ACCEPTED -> step(ModelRequestEvent.OutputAccepted)
            else -> attempt?.let { applyToAttempt(it, kind, pick) }
        }
    }

    private fun applyToAttempt(attempt: FakeAttempt, kind: RunStep, pick: Int) {
        if (attempt.wasNotSent) return
        if (kind != RunStep.NOT_SENT) attempt.hasStarted = true
        when (kind) {
            RunStep.HEAD -> head(attempt, attempt.id)
            RunStep.TOKEN -> token(attempt)
            RunStep.NEXT_TOKENS -> {
                if (!attempt.isHeadSent) head(attempt, attempt.id)
                repeat(pick % 4 + 1) { token(attempt) }
            }
            RunStep.DUPLICATE -> {
                attempt.position = (attempt.position - 1).coerceAtLeast(0)
                token(attempt)
            }
            RunStep.SKIP -> {
                attempt.position = (attempt.position + 1).coerceAtMost(answerLength)
                attempt.hasSkipped = true
                token(attempt)
            }
            RunStep.KEEP_ALIVE -> step(ModelRequestEvent.KeepAliveReceived(attempt.id))
            RunStep.END -> end(attempt)
            else -> applyFault(attempt, kind, pick)
        }
    }

    private fun applyFault(attempt: FakeAttempt, kind: RunStep, pick: Int) {
        when (kind) {
            RunStep.CUT -> fail(attempt, AttemptFault.Broken("cut"))
            RunStep.NOT_SENT -> if (!attempt.hasStarted) {
                attempt.wasNotSent = true
                fail(attempt, AttemptFault.NotSent(NotRunReason.CONNECT_FAILED, "refused"))
            }
            RunStep.REJECTED -> fail(attempt, AttemptFault.Rejected(503, "boot-1"))
            RunStep.OTHER_INCARNATION ->
                step(ModelRequestEvent.AnswerStarted(attempt.id, attempt.id, "boot-2"))
            RunStep.HEADLESS_CROSS -> if (!attempt.isHeadSent) {
                attempt.isCrossed = true
                if (pick % 2 == 0) token(attempt)
            }
            else -> {
                attempt.isCrossed = true
                head(attempt, AttemptId("of-another-request"))
            }
        }
    }

    private fun head(attempt: FakeAttempt, echoed: AttemptId) {
        attempt.isHeadSent = true
        step(ModelRequestEvent.AnswerStarted(attempt.id, if (attempt.isCrossed) AttemptId("x") else echoed, "boot-1"))
    }

    private fun token(attempt: FakeAttempt) {
        if (attempt.position >= answerLength) return
        val text = if (attempt.isCrossed) "text of another request" else expectedText(attempt.position)
        step(ModelRequestEvent.TokenReceived(attempt.id, AnswerToken(TokenOffset(attempt.position), text)))
        attempt.position += 1
    }

    /**
     * Sends the end marker. If tokens are missing before it, the marker states the length of the answer, because the
     * received tokens are contiguous and the missing ones can be detected only by the length.
     */
    private fun end(attempt: FakeAttempt) {
        val isWhole = attempt.position == answerLength && !attempt.hasSkipped
        val total = TokenOffset(answerLength).takeUnless { isWhole || attempt.isCrossed }
        step(ModelRequestEvent.EndReceived(attempt.id, total))
    }

    private fun fail(attempt: FakeAttempt, fault: AttemptFault) =
        step(ModelRequestEvent.AttemptFailed(attempt.id, fault))

    private fun advance(duration: Duration) {
        now += duration
        step(ModelRequestEvent.Tick)
        state.wakeUpAt?.let { assertTrue(it > now, "after the tick at $now, wakeUpAt is still $it") }
    }

    private fun grant(): SlotAnswer {
        granted += 1
        val slot = Slot(SlotId(granted), BackendServer("server-$granted"), "127.0.0.1:1", incarnation = "boot-1")
        heldSlots += slot.id
        return SlotAnswer.Granted(slot)
    }

    private fun answerAcquire(answer: SlotAnswer) {
        acquires.removeFirst()
        step(ModelRequestEvent.SlotAnswered(answer, AttemptId("attempt-$granted")))
    }

    private fun step(event: ModelRequestEvent) {
        val transition = state.next(event, now)
        state = transition.state
        transition.effects.forEach(::execute)
    }

    private fun execute(effect: ModelRequestEffect) {
        when (effect) {
            is ModelRequestEffect.Acquire -> {
                assertEquals(failedServers, effect.request.excluded)
                acquires += effect.request
            }
            is ModelRequestEffect.Dispatch -> {
                assertEquals(output.size.toLong(), effect.resumeAt.value, "attempt resumes at the wrong offset")
                attempts += FakeAttempt(effect.attempt, effect.resumeAt.value)
                assertTrue(attempts.size <= 3, "more than 3 attempts")
            }
            is ModelRequestEffect.Deliver -> {
                assertNull(result, "output after the request finished")
                output += effect.token.text
                assertEquals(expectedAnswer().take(output.size), output, "output is not a prefix of the answer")
            }
            is ModelRequestEffect.SendKeepAlive -> assertNull(result, "keep-alive after the request finished")
            is ModelRequestEffect.Release -> releaseSlot(effect.slot)
            is ModelRequestEffect.Abandon -> releaseSlot(effect.slot)
            is ModelRequestEffect.Finish -> finish(effect.result)
        }
    }

    private fun releaseSlot(slot: Slot) {
        assertTrue(heldSlots.remove(slot.id), "slot ${slot.id} was released twice")
        failedServers += slot.server
    }

    private fun finish(finished: ModelRequestResult) {
        assertNull(result, "the request finished twice")
        result = finished
        if (finished is ModelRequestResult.Complete) assertEquals(expectedAnswer(), output, "answer is incomplete")
        if (finished is ModelRequestResult.Refused) {
            assertTrue(attempts.all { it.wasNotSent }, "reported as not run although a byte was sent")
        }
    }

    /**
     * Advances the time past the deadline, grants the slots still waited for and checks that all slots were released.
     */
    fun runToEnd() {
        repeat(3) {
            advance(60.seconds)
            while (acquires.isNotEmpty()) answerAcquire(grant())
        }
        assertTrue(heldSlots.isEmpty(), "slots were not released: $heldSlots")
    }

    private fun expectedAnswer(): List<String> = (0 until answerLength).map(::expectedText)

    private fun expectedText(offset: Long): String = "t$offset"
}
